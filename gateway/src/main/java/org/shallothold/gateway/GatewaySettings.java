package org.shallothold.gateway;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;
import org.shallothold.core.routing.SelectionPolicy;
import org.shallothold.gateway.http.HttpOptions;
import org.shallothold.gateway.request.RouterOptions;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.tls.TlsContexts;

/**
 * Settings of a gateway process; the keys and their defaults are in {@code conf/gateway.toml}.
 *
 * @param processId id of this process in the fleet
 * @param failureDomain failure domain of the VM that the process runs on
 * @param http options of the callers' HTTP interface
 * @param operatorListen listen address for the operators' command
 * @param platformUrl base URL of the platform
 * @param router options of the request router
 * @param silenceMillis time without a message after which a sidecar counts as lost
 * @param drainGraceMillis time after SIGTERM during which new requests are still accepted
 * @param drainLimitMillis time after the grace period for requests in flight to finish
 * @param tls TLS contexts for mutual TLS between processes
 */
public record GatewaySettings(
    String processId,
    String failureDomain,
    HttpOptions http,
    InetSocketAddress operatorListen,
    URI platformUrl,
    RouterOptions router,
    int silenceMillis,
    long drainGraceMillis,
    long drainLimitMillis,
    TlsContexts tls) {

  /**
   * Reads and validates the settings of a document.
   *
   * @throws org.shallothold.runtime.settings.SettingsException if settings are missing, invalid or
   *     unknown; lists all problems
   */
  public static GatewaySettings read(SettingsDocument document) {
    String processId = document.requiredText("process.id");
    String failureDomain = document.requiredText("process.failure_domain");
    InetSocketAddress httpListen = document.requiredAddress("http.listen");
    int maxHeaderLines = (int) document.number("http.max_header_lines", 4_096, 16, 65_536);
    int maxBodyBytes = (int) document.number("http.max_body_bytes", 1_048_576, 1_024, 4_194_304);
    int maxInFlight = (int) document.number("http.max_in_flight", 4_096, 1, 65_536);
    InetSocketAddress operatorListen = document.requiredAddress("operator.listen");
    URI platformUrl = document.requiredHttpUrl("platform.url");
    SelectionPolicy policy =
        document.choice("routing.policy", SelectionPolicy.class, SelectionPolicy.OWN_COUNTS);
    int subsetSize = (int) document.number("routing.subset_size", 16, 2, 4_096);
    int silenceMillis = (int) document.number("routing.silence_ms", 3_500, 500, 60_000);
    int retryBudgetPercent = (int) document.number("retry.budget_percent", 10, 0, 100);
    int retryBudgetFloorPerSecond =
        (int) document.number("retry.budget_floor_per_second", 1, 0, 1_000);
    long verdictWaitMillis = document.number("verdict.wait_ms", 100, 0, 60_000);
    long drainGraceMillis = document.number("drain.grace_ms", 2_000, 0, 600_000);
    long drainLimitMillis = document.number("drain.limit_ms", 60_000, 0, 3_600_000);
    TlsContexts tls = TlsContexts.read(document);
    tls.checkListenAddress(document, "operator.listen", operatorListen);
    document.finish();
    return new GatewaySettings(
        Objects.requireNonNull(processId),
        Objects.requireNonNull(failureDomain),
        new HttpOptions(Objects.requireNonNull(httpListen), maxHeaderLines, maxBodyBytes),
        Objects.requireNonNull(operatorListen),
        Objects.requireNonNull(platformUrl),
        new RouterOptions(
            policy,
            subsetSize,
            maxInFlight,
            retryBudgetPercent,
            retryBudgetFloorPerSecond,
            verdictWaitMillis),
        silenceMillis,
        drainGraceMillis,
        drainLimitMillis,
        tls);
  }
}
