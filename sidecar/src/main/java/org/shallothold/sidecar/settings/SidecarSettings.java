package org.shallothold.sidecar.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.tls.TlsContexts;

/**
 * What the operators set for one sidecar. Read once at start; immutable.
 *
 * @param serverId backend server in the configuration
 * @param failureDomain failure domain of the VM
 * @param listen address for gateways and the operators' command
 * @param metricsListen address for metrics over HTTP
 * @param backend where the backend server is and when it counts as lost
 * @param platform base address of the platform
 * @param queue how work waits
 * @param versionWaitMillis time allowed for a configuration version that a submission was made
 *     under and that this process doesn't hold yet
 * @param drainLimitMillis running work still running so long after the start of draining is cut
 * @param tls contexts for connections from other processes
 */
public record SidecarSettings(
    String serverId,
    String failureDomain,
    InetSocketAddress listen,
    InetSocketAddress metricsListen,
    Backend backend,
    URI platform,
    Queue queue,
    long versionWaitMillis,
    long drainLimitMillis,
    TlsContexts tls) {

  private static final InetSocketAddress NO_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final URI NO_URL = URI.create("http://127.0.0.1/");

  /**
   * The backend server.
   *
   * @param url base address, ending in a slash
   * @param connectTimeoutMillis time allowed for a connect
   * @param silenceMillis silence in mid-answer after which the server is taken as lost
   */
  public record Backend(URI url, long connectTimeoutMillis, long silenceMillis) {}

  /**
   * The waiting queue.
   *
   * @param policy order of starts
   * @param floorIntervalMillis wait after which a class gets the next free slot
   * @param maxPreemptions preemptions of a request at any time; after these, it is protected
   * @param protectedRunMillis time for which a protected request, or one started by the floor,
   *     keeps its slot
   */
  public record Queue(
      Policy policy, long floorIntervalMillis, int maxPreemptions, long protectedRunMillis) {}

  /** Order of starts, as the settings name it. */
  public enum Policy {
    /** By tier, with the floor and preemption. */
    TIERS,
    /** First come, first served; a baseline for measurements. */
    ARRIVAL
  }

  /** Reads a document. Problems are noted in it, and then the result is of no use. */
  public static SidecarSettings from(SettingsDocument document) {
    String serverId = document.requiredText("process.server_id");
    String failureDomain = document.requiredText("process.failure_domain");
    InetSocketAddress listen = document.requiredAddress("listen.address");
    InetSocketAddress metricsListen = document.requiredAddress("metrics.listen");
    URI backendUrl = url(document, "backend.url");
    Backend backend =
        new Backend(
            backendUrl,
            document.number("backend.connect_timeout_ms", 1_000, 10, 60_000),
            document.number("backend.silence_ms", 10_000, 100, 3_600_000));
    URI platform = url(document, "platform.url");
    Queue queue =
        new Queue(
            document.choice("queue.policy", Policy.class, Policy.TIERS),
            document.number("queue.floor_interval_ms", 2_000, 10, 600_000),
            (int) document.number("queue.max_preemptions", 2, 0, 100),
            document.number("queue.protected_run_ms", 1_000, 0, 3_600_000));
    // A peer answers within a few milliseconds.
    long versionWait = document.number("configuration.version_wait_ms", 500, 10, 60_000);
    long drainLimit = document.number("drain.limit_ms", 60_000, 100, 3_600_000);
    TlsContexts tls = TlsContexts.read(document);
    tls.checkListenAddress(document, "listen.address", listen);
    return new SidecarSettings(
        orElse(serverId, ""),
        orElse(failureDomain, ""),
        orElse(listen, NO_ADDRESS),
        orElse(metricsListen, NO_ADDRESS),
        backend,
        platform,
        queue,
        versionWait,
        drainLimit,
        tls);
  }

  private static URI url(SettingsDocument document, String key) {
    String text = document.requiredText(key);
    if (text == null) {
      return NO_URL;
    }
    try {
      URI url = new URI(text.endsWith("/") ? text : text + "/");
      if ("http".equals(url.getScheme()) && url.getHost() != null) {
        return url;
      }
    } catch (URISyntaxException e) {
      // Reported below with the other malformed addresses.
    }
    document.clash(key, "'" + text + "'", "a URL as http://127.0.0.1:8001/");
    return NO_URL;
  }

  private static <T> T orElse(@Nullable T value, T otherwise) {
    return value == null ? otherwise : value;
  }
}
