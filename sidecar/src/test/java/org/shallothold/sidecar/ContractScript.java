package org.shallothold.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.sidecar.settings.SidecarSettings;
import org.shallothold.wire.proto.Envelope;

/**
 * A sidecar between fakes, driven by steps separated by semicolons. {@code N: FRAMES} waits until
 * attempt N has got these frames. Others submit ({@code complete N CLASS [resume=COUNT] SCRIPT},
 * {@code submit N CLASS CUSTOMER MODEL}, {@code call N METHOD PATH SCRIPT BODY [TICKET]}), change
 * the configuration ({@code slots N}, {@code load} for another model) or wait for a count.
 */
final class ContractScript implements AutoCloseable {

  private static final EventLoopGroup GROUP = new NioEventLoopGroup(1);
  private static final String TARGETS =
      "\"first_token_target_ms\": 1, \"token_interval_target_ms\": 1, \"answer_target_ms\": 1";
  private static final String SHARED =
      """
      "classes": {"high": {"tier": 0, "servers": ["s"], %1$s},
        "low": {"tier": 3, "servers": ["s"], %1$s}, "other": {"tier": 1, "servers": [], %1$s}},
      "services": {"orders": {"orders": [{"method": "POST", "path_prefix": "/orders"},
        {"method": "GET", "path_prefix": "/claims"}]}},
      "customers": {"mill": {"key_sha256": "%2$s", "classes": ["high", "low", "other"],
        "requests_per_second": 9}},
      """
          .formatted(TARGETS, "0".repeat(64));

  final FakePlatform platform = new FakePlatform();
  final FakeBackend backend = new FakeBackend();
  long silenceMillis = 60_000;
  long drainLimitMillis = 60_000;
  long versionWaitMillis = 30_000;

  @SuppressWarnings("NullAway.Init") // Set by the start.
  TestGateway gateway;

  @SuppressWarnings("NullAway.Init")
  private SidecarProcess sidecar;

  private int slots = 4;
  private String models = "\"model\"";
  private String ticket = "";

  ContractScript() throws IOException {}

  void startEngine(int newSlots) {
    slots = newSlots;
    start(server("engine", false));
  }

  void startService() {
    slots = 1;
    models = "";
    start(server("service", false));
  }

  @Override
  public void close() {
    backend.open();
    gateway.close();
    sidecar.close();
    platform.close();
    backend.close();
  }

  void run(String steps) {
    for (String step : steps.strip().split(";\\s*", -1)) {
      String[] expectation = step.split(": ", 2);
      if (expectation.length == 2) {
        gateway.expect(Integer.parseInt(expectation[0]), expectation[1]);
      } else {
        step(List.of(step.split(" ", -1)));
      }
    }
  }

  private void start(String server) {
    platform.publish("{" + SHARED + server + "}");
    String settings =
        """
        process = {server_id = "s", failure_domain = "d"}
        listen.address = "127.0.0.1:0"
        metrics.listen = "127.0.0.1:0"
        backend = {url = "%s", silence_ms = %d}
        platform.url = "%s"
        queue.floor_interval_ms = 60000
        configuration.version_wait_ms = %d
        drain.limit_ms = %d
        """
            .formatted(
                backend.url(), silenceMillis, platform.url(), versionWaitMillis, drainLimitMillis);
    sidecar = SidecarProcess.start(SidecarSettings.from(SettingsDocument.parse("test", settings)));
    gateway = new TestGateway(GROUP, sidecar.port());
    gateway.await(item -> item.getConfigurationAnnouncement().getVersion().getNumber() == 1);
  }

  private String server(String kind, boolean draining) {
    return """
        "servers": {"s": {"kind": "%s", "address": "127.0.0.1:1", "failure_domain": "d",
          "models": [%s], "service": "orders", "max_running": %d, "max_waiting": 2,
          "checks_fencing": true, "draining": %b}}
        """
        .formatted(kind, models, slots, draining);
  }

  private void step(List<String> words) {
    String last = words.getLast();
    switch (words.getFirst()) {
      case "complete" -> complete(words);
      case "submit" ->
          gateway.submit(
              number(words),
              words.get(2),
              "customer: '%s' completion { model: '%s' }".formatted(words.get(3), last));
      case "call" ->
          gateway.call(
              number(words),
              words.get(2),
              words.get(3),
              words.get(4),
              ticket(words.size() > 6 ? last : "own"),
              words.get(5));
      case "version" -> gateway.version = number(words);
      case "slots" -> {
        slots = number(words);
        platform.publish("{" + server("engine", false) + "}");
      }
      case "load" -> {
        models = "\"model\", \"b\"";
        platform.publish("{" + server("engine", false) + "}");
      }
      case "cancel" -> gateway.cancel(number(words));
      case "reconnect" -> {
        gateway.close();
        gateway = new TestGateway(GROUP, sidecar.port());
      }
      case "open" -> backend.open();
      case "leave" -> leave(last);
      case "leaving" ->
          assertEquals(last, gateway.await(Envelope::hasLeaving).getLeaving().getSource());
      case "left" -> Eventually.holds("left", sidecar::isDone);
      case "ticket" -> ticket = gateway.ticket();
      case "seal" -> assertEquals(last, gateway.ask("ticket_seal", ticket));
      case "state" -> Eventually.equal(last, () -> gateway.ask("ticket_inquiry", ticket));
      case "completions" -> Eventually.equal(number(words), backend.completions::size);
      case "cut" -> Eventually.equal(number(words), backend.brokenWrites::get);
      case "orders" -> assertEquals(number(words), backend.calls.getOrDefault(ticket, 0));
      case "commands" -> Eventually.equal(number(words), backend.commands::size);
      case "load-status" -> backend.loadStatus = number(words);
      case "engine" ->
          gateway.await(item -> item.getLoadReport().getEngineRunning() == number(words));
      case "fence" -> backend.highestFencingNumber.addAndGet(number(words));
      default -> throw new IllegalArgumentException("unknown step: " + words);
    }
  }

  private void complete(List<String> words) {
    boolean resumed = words.get(3).startsWith("resume=");
    int count = resumed ? Integer.parseInt(words.get(3).substring("resume=".length())) : 0;
    String tokens =
        IntStream.range(0, count)
            .mapToObj(index -> "'k" + index + "'")
            .collect(Collectors.joining(", "));
    gateway.complete(
        number(words),
        words.get(2),
        String.join(" ", words.subList(resumed ? 4 : 3, words.size())),
        tokens);
  }

  private void leave(String source) {
    switch (source) {
      case "configuration" -> platform.publish("{" + server("engine", true) + "}");
      case "members" -> platform.listAsLeaving("s");
      case "peer" -> gateway.send("leaving_notice { server_id: 's' }");
      default -> sidecar.leave();
    }
  }

  private String ticket(String kind) {
    return switch (kind) {
      case "own" -> ticket;
      case "none" -> "";
      case "former" -> ticket.replaceFirst("~[0-9a-f]{32}~", "~" + "0".repeat(32) + "~");
      case "forged" -> ticket.substring(0, ticket.length() - 43) + "A".repeat(43);
      default -> kind;
    };
  }

  private static int number(List<String> words) {
    return Integer.parseInt(words.get(1));
  }
}
