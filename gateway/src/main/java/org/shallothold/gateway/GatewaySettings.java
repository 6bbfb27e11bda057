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
 * Settings of a gateway; the keys and their defaults are in {@code conf/gateway.toml}.
 *
 * @param processId id of this process in the fleet
 * @param failureDomain failure domain of its VM
 * @param http callers' interface
 * @param operatorListen address for the operators' command
 * @param platformUrl base address of the platform
 * @param router settings of the thread that owns the requests
 * @param silenceMillis silence after which a sidecar is taken as lost, in milliseconds
 * @param graceMillis time after SIGTERM in which new requests are still served, in milliseconds
 * @param limitMillis time after that in which requests may finish, in milliseconds
 * @param tls contexts for mutual TLS between processes
 */
public record GatewaySettings(
    String processId,
    String failureDomain,
    HttpOptions http,
    InetSocketAddress operatorListen,
    URI platformUrl,
    RouterOptions router,
    int silenceMillis,
    long graceMillis,
    long limitMillis,
    TlsContexts tls) {

  /**
   * Returns the settings of a document.
   *
   * @throws org.shallothold.runtime.settings.SettingsException with all problems at once
   */
  public static GatewaySettings read(SettingsDocument document) {
    String processId = document.requiredText("process.id");
    String failureDomain = document.requiredText("process.failure_domain");
    InetSocketAddress listen = document.requiredAddress("http.listen");
    int maxBodyBytes = (int) document.number("http.max_body_bytes", 1_048_576, 1_024, 4_194_304);
    int maxInFlight = (int) document.number("http.max_in_flight", 4_096, 1, 65_536);
    InetSocketAddress operatorListen = document.requiredAddress("operator.listen");
    URI platformUrl = document.requiredHttpUrl("platform.url");
    SelectionPolicy policy =
        document.choice("routing.policy", SelectionPolicy.class, SelectionPolicy.OWN_COUNTS);
    int subsetSize = (int) document.number("routing.subset_size", 16, 2, 4_096);
    int silenceMillis = (int) document.number("routing.silence_ms", 3_500, 500, 60_000);
    int budgetPercent = (int) document.number("retry.budget_percent", 10, 0, 100);
    int budgetFloor = (int) document.number("retry.budget_floor_per_second", 1, 0, 1_000);
    long verdictWait = document.number("verdict.wait_ms", 100, 0, 60_000);
    long graceMillis = document.number("drain.grace_ms", 2_000, 0, 600_000);
    long limitMillis = document.number("drain.limit_ms", 60_000, 0, 3_600_000);
    TlsContexts tls = TlsContexts.read(document);
    tls.checkListenAddress(document, "operator.listen", operatorListen);
    document.finish();
    return new GatewaySettings(
        Objects.requireNonNull(processId),
        Objects.requireNonNull(failureDomain),
        new HttpOptions(Objects.requireNonNull(listen), maxBodyBytes),
        Objects.requireNonNull(operatorListen),
        Objects.requireNonNull(platformUrl),
        new RouterOptions(policy, subsetSize, maxInFlight, budgetPercent, budgetFloor, verdictWait),
        silenceMillis,
        graceMillis,
        limitMillis,
        tls);
  }
}
