package org.shallothold.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.sidecar.settings.SidecarSettings;
import org.shallothold.sidecar.work.LeavingSource;
import org.shallothold.wire.proto.Envelope;

/** The sidecar's wire interface before a fake engine or service, and a fake platform. */
class SidecarContractTest {

  private static final EventLoopGroup GROUP = new NioEventLoopGroup(1);
  private static final String SHARED =
      """
      "classes": {"high": {"tier": 0, %1$s}, "low": {"tier": 3, %1$s},
        "other": {"tier": 1, "first_token_target_ms": 1, "token_interval_target_ms": 1,
          "answer_target_ms": 1, "servers": []}},
      "services": {"orders": {"orders": [{"method": "POST", "path_prefix": "/orders"},
        {"method": "GET", "path_prefix": "/claims"}]}},
      "customers": {"mill": {"key_sha256": "%2$s", "classes": ["high", "low", "other"],
        "requests_per_second": 9}}
      """
          .formatted(
              "\"first_token_target_ms\": 1, \"token_interval_target_ms\": 1,"
                  + " \"answer_target_ms\": 1, \"servers\": [\"s\"]",
              "0".repeat(64));

  private FakePlatform platform;
  private FakeBackend backend;

  @SuppressWarnings("NullAway.Init") // Set by each test's start.
  private SidecarProcess sidecar;

  @SuppressWarnings("NullAway.Init")
  private TestGateway gateway;

  @BeforeEach
  void startFakes() throws IOException {
    platform = new FakePlatform();
    backend = new FakeBackend();
  }

  @AfterEach
  void stop() {
    backend.open();
    gateway.close();
    sidecar.close();
    platform.close();
    backend.close();
  }

  @AfterAll
  static void stopThreads() {
    GROUP.shutdownGracefully();
  }

  private static String server(String kind, String models, int running, boolean draining) {
    return """
        "servers": {"s": {"kind": "%s", "address": "127.0.0.1:1", "failure_domain": "d",
          "models": [%s], "service": "orders", "max_running": %d, "max_waiting": 2,
          "checks_fencing": true, "draining": %b}}
        """
        .formatted(kind, models, running, draining);
  }

  private void startEngine(int running) {
    start(server("engine", "\"model\"", running, false), 60_000, 60_000);
  }

  private void startService(int running) {
    start(server("service", "", running, false), 60_000, 60_000);
  }

  private void start(String server, long silenceMillis, long drainLimitMillis) {
    platform.publish("{" + SHARED + "," + server + "}");
    String settings =
        """
        process = {server_id = "s", failure_domain = "d"}
        listen.address = "127.0.0.1:0"
        metrics.listen = "127.0.0.1:0"
        backend = {url = "%s", silence_ms = %d}
        platform.url = "%s"
        queue.floor_interval_ms = 60000
        drain.limit_ms = %d
        """
            .formatted(backend.url(), silenceMillis, platform.url(), drainLimitMillis);
    sidecar = SidecarProcess.start(SidecarSettings.from(SettingsDocument.parse("test", settings)));
    gateway = new TestGateway(GROUP, sidecar.port());
    gateway.await(item -> item.getConfigurationAnnouncement().getVersion().getNumber() == 1);
  }

  @Nested
  class Completions {

    /** Guards against an answer that is taken as complete, or tokens that are lost or repeated. */
    @ParameterizedTest(name = "{0}, resumed after {1}")
    @CsvSource(
        delimiter = '|',
        textBlock =
            """
            to3 done | | accepted, started, tokens 0-3, COMPLETE 3 stop
            to5 done | k0 k1 | accepted, started, tokens 2-5, COMPLETE 5 stop
            to0 done | | accepted, started, COMPLETE 0 stop
            to2 close | | accepted, started, tokens 0-2, BROKEN 2 backend_failed
            to2 reason-only | | accepted, started, tokens 0-2, BROKEN 2 backend_failed
            to2 mark-only | k0 | accepted, started, tokens 1-2, BROKEN 2 backend_failed
            to1 garbage to2 done | | accepted, started, tokens 0-1, BROKEN 1 backend_failed
            status500 | | accepted, started, BROKEN 0 backend_failed
            status400 | | accepted, started, BROKEN 0 malformed_request
            """)
    void endAsTheEngineEndsThem(String script, String resume, String expected) {
      startEngine(4);
      gateway.complete(1, "high", script, resume == null ? new String[0] : resume.split(" ", -1));
      gateway.expect(1, expected);
    }

    /** Guards against a slot held for ever by an engine that hangs. */
    @Test
    void silentEngineCountsAsLost() {
      start(server("engine", "\"model\"", 1, false), 300, 60_000);
      gateway.complete(1, "high", "to1 hang");
      gateway.expect(1, "accepted, started, tokens 0-1, BROKEN 1 backend_failed");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted, started, tokens 0-1, COMPLETE 1 stop");
    }

    /** Guards against fields of the caller that get lost, and extra fields that are missing. */
    @Test
    void engineGetsTheCallersFieldsAndTheExtraOnes() {
      startEngine(4);
      gateway.complete(1, "low", "to3 done", "k0");
      Eventually.holds("called", () -> !backend.completions.isEmpty());
      JsonNode seen = backend.completions.getFirst();
      assertEquals("[1]", seen.path("x").toString());
      assertEquals("3", seen.path("priority").toString());
      assertEquals("true", seen.path("stream").toString());
      assertEquals("[\"k0\"]", seen.path("resume_tokens").toString());
    }

    /** Guards against a second run of an attempt that arrives twice. */
    @Test
    void duplicateSubmitIsIgnored() {
      startEngine(4);
      gateway.complete(1, "high", "to1 done");
      gateway.expect(1, "accepted, started, tokens 0-1, COMPLETE 1 stop");
      gateway.complete(1, "high", "to1 done");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted, started, tokens 0-1, COMPLETE 1 stop");
      gateway.expect(1, "accepted, started, tokens 0-1, COMPLETE 1 stop");
      assertEquals(2, backend.completions.size());
    }

    /** Guards against tokens lost by a preemption, and a low tier that blocks a high one. */
    @Test
    void preemptedAnswerGoesOnAfterItsTokens() {
      startEngine(1);
      gateway.complete(1, "low", "to2 wait to4 done");
      gateway.expect(1, "accepted, started, tokens 0-2");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted, started, tokens 0-1, COMPLETE 1 stop");
      backend.open();
      gateway.expect(1, "accepted, started, tokens 0-4, COMPLETE 4 stop");
    }

    /** Guards against work that goes on after its gateway gave it up. */
    @Test
    void cancelStopsTheWork() {
      startEngine(1);
      gateway.complete(1, "high", "to2 wait done");
      gateway.expect(1, "accepted, started, tokens 0-2");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted");
      gateway.cancel(2);
      gateway.expect(2, "accepted, NOT_RUN cancelled");
      gateway.cancel(1);
      gateway.cancel(1);
      gateway.expect(1, "accepted, started, tokens 0-2, CANCELLED 2 cancelled");
      Eventually.holds("engine's connection closed", () -> backend.brokenWrites.get() == 1);
      assertEquals(1, backend.completions.size());
    }

    /** Guards against work that outlives its gateway. */
    @Test
    void closedConnectionStopsTheWork() {
      startEngine(1);
      gateway.complete(1, "high", "to2 wait done");
      gateway.expect(1, "accepted, started, tokens 0-2");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted");
      gateway.close();
      Eventually.holds("engine's connection closed", () -> backend.brokenWrites.get() == 1);
      gateway = new TestGateway(GROUP, sidecar.port());
      gateway.complete(3, "high", "to1 done");
      gateway.expect(3, "accepted, started, tokens 0-1, COMPLETE 1 stop");
      assertEquals(2, backend.completions.size());
    }
  }

  @Nested
  class Admissions {

    /** Guards against work that the newest configuration forbids. */
    @ParameterizedTest(name = "class {0}, customer {1}, model {2}, version {3}")
    @CsvSource({
      "none, mill, model, 1, unknown_class",
      "high, none, model, 1, class_not_allowed",
      "other, mill, model, 1, no_server",
      "high, mill, none, 1, unknown_model",
      "none, mill, model, 0, configuration_behind",
      "high, mill, none, 0, configuration_behind",
      "high, mill, model, 9, configuration_behind",
    })
    void forbiddenWorkIsRefused(
        String serviceClass, String customer, String model, long version, String reason) {
      startEngine(4);
      gateway.version = version;
      gateway.submit(
          1, serviceClass, "customer: '%s' completion { model: '%s' }".formatted(customer, model));
      gateway.expect(1, "NOT_RUN " + reason);
      assertTrue(backend.completions.isEmpty());
    }

    /** Guards against work done under a configuration that the gateway has left behind. */
    @Test
    void newerVersionIsAwaited() {
      startEngine(4);
      gateway.version = 2;
      gateway.complete(1, "high", "to1 done");
      platform.publish("{" + server("engine", "\"model\", \"b\"", 4, false) + "}");
      gateway.expect(1, "accepted, started, tokens 0-1, COMPLETE 1 stop");
    }

    /** Guards against slots that keep their number when the configuration changes it. */
    @Test
    void slotsFollowTheConfiguration() {
      startEngine(1);
      gateway.complete(1, "high", "to1 wait done");
      gateway.complete(2, "high", "to1 wait done");
      gateway.expect(1, "accepted, started, tokens 0-1");
      gateway.expect(2, "accepted");
      platform.publish("{" + server("engine", "\"model\"", 2, false) + "}");
      gateway.expect(2, "accepted, started, tokens 0-1");
    }
  }

  @Nested
  class Leaving {

    /** Guards against a source that is not heard, lost running work, and new work taken. */
    @ParameterizedTest
    @EnumSource(LeavingSource.class)
    void runningWorkEndsAndNothingNewStarts(LeavingSource source) throws InterruptedException {
      startEngine(1);
      gateway.complete(1, "low", "to1 wait to2 done");
      gateway.expect(1, "accepted, started, tokens 0-1");
      gateway.complete(2, "low", "to1 done");
      gateway.expect(2, "accepted");
      switch (source) {
        case CONFIGURATION -> platform.publish("{" + server("engine", "\"model\"", 1, true) + "}");
        case MEMBERS -> platform.listAsLeaving("s");
        case PEER -> gateway.send("leaving_notice { server_id: 's' }");
        case SIGNAL -> sidecar.leave();
      }
      Envelope leaving = gateway.await(Envelope::hasLeaving);
      assertEquals(source.code(), leaving.getLeaving().getSource());
      gateway.expect(2, "accepted, NOT_RUN server_leaving");
      gateway.complete(3, "high", "to1 done");
      gateway.expect(3, "NOT_RUN server_leaving");
      backend.open();
      gateway.expect(1, "accepted, started, tokens 0-2, COMPLETE 2 stop");
      sidecar.awaitDone();
      assertEquals(1, backend.completions.size());
    }
  }

  /** Guards against a process that never ends, and work that is cut without a word. */
  @Test
  void drainLimitCutsRunningWork() throws InterruptedException {
    start(server("engine", "\"model\"", 1, false), 60_000, 100);
    gateway.complete(1, "low", "to1 wait done");
    gateway.expect(1, "accepted, started, tokens 0-1");
    sidecar.leave();
    gateway.expect(1, "accepted, started, tokens 0-1, BROKEN 1 server_leaving");
    sidecar.awaitDone();
  }

  @Nested
  class Orders {

    private static final String ANSWER = "201 POST /orders";

    /** Guards against an order that runs twice when it arrives again at any moment. */
    @Test
    void laterArrivalsGetTheFirstAnswer() {
      startService(1);
      String ticket = gateway.ticket();
      gateway.call(1, "POST", "/orders", "wait", ticket, "b");
      gateway.expect(1, "accepted, started");
      gateway.call(2, "POST", "/orders", "wait", ticket, "b");
      gateway.call(3, "POST", "/orders", "wait", ticket, "other");
      gateway.expect(3, "NOT_RUN ticket_reused");
      assertEquals("handed_over", gateway.ask("ticket_seal", ticket));
      backend.open();
      gateway.expect(1, "accepted, started, " + ANSWER);
      gateway.expect(2, "accepted, started, " + ANSWER);
      gateway.call(4, "POST", "/orders", "wait", ticket, "b");
      gateway.expect(4, ANSWER);
      assertEquals("answered", gateway.ask("ticket_inquiry", ticket));
      assertEquals(Map.of(ticket, 1), backend.calls);
    }

    /** Guards against an order that is lost or repeated when its gateway is gone. */
    @Test
    void answerOutlivesTheGateway() {
      startService(1);
      String ticket = gateway.ticket();
      gateway.call(1, "POST", "/orders", "wait", ticket, "b");
      gateway.expect(1, "accepted, started");
      gateway.close();
      gateway = new TestGateway(GROUP, sidecar.port());
      backend.open();
      Eventually.equal("answered", () -> gateway.ask("ticket_inquiry", ticket));
      gateway.call(2, "POST", "/orders", "wait", ticket, "b");
      gateway.expect(2, ANSWER);
      assertEquals(Map.of(ticket, 1), backend.calls);
    }

    /** Guards against a retry of an order whose fate nobody knows. */
    @ParameterizedTest
    @CsvSource({"POST, /orders", "GET, /claims"})
    void brokenConnectionToTheServiceIsNotRetried(String method, String path) {
      startService(1);
      String first = gateway.ticket();
      gateway.call(1, method, path, "go", first, "");
      gateway.expect(1, "accepted, started, 201 " + method + " " + path);
      String ticket = gateway.ticket();
      gateway.call(2, method, path, "crash", ticket, "");
      gateway.expect(2, "accepted, started, MAY_HAVE_RUN backend_failed");
      gateway.call(3, method, path, "crash", ticket, "");
      gateway.expect(3, "MAY_HAVE_RUN backend_failed");
      assertEquals(Map.of(first, 1, ticket, 1), backend.calls);
    }

    /** Guards against an order that starts after it was refused, cancelled or sealed. */
    @ParameterizedTest
    @CsvSource({
      "cancel, 'accepted, NOT_RUN cancelled'",
      "seal, 'accepted, NOT_RUN ticket_sealed'",
      "leave, 'accepted, NOT_RUN server_leaving'"
    })
    void waitingOrderIsSealedBeforeItIsRefused(String how, String expected) {
      startService(1);
      gateway.call(1, "GET", "/stock", "wait", "", "");
      gateway.expect(1, "accepted, started");
      String ticket = gateway.ticket();
      gateway.call(2, "POST", "/orders", "go", ticket, "b");
      gateway.expect(2, "accepted");
      switch (how) {
        case "cancel" -> gateway.cancel(2);
        case "seal" -> assertEquals("sealed", gateway.ask("ticket_seal", ticket));
        default -> sidecar.leave();
      }
      gateway.expect(2, expected);
      assertEquals("sealed", gateway.ask("ticket_inquiry", ticket));
      gateway.call(3, "POST", "/orders", "go", ticket, "b");
      gateway.expect(3, "NOT_RUN ticket_sealed");
      backend.open();
      gateway.expect(1, "accepted, started, 201 GET /stock");
      assertEquals(Map.of("none", 1), backend.calls);
    }

    /** Guards against an order that passes as a repeatable call, or under a foreign ticket. */
    @ParameterizedTest(name = "{0} {1} with ticket {2}")
    @CsvSource({
      "POST, /orders, none, NOT_RUN order_ticket_required",
      "POST, /orders/7?x=1, none, NOT_RUN order_ticket_required",
      "POST, /%6Frders, none, NOT_RUN malformed_request",
      "POST, //orders, none, NOT_RUN malformed_request",
      "POST, /x/../orders, none, NOT_RUN malformed_request",
      "post, /orders, none, NOT_RUN malformed_request",
      "POST, /orders, bad, NOT_RUN order_ticket_invalid",
      "POST, /orders, former, MAY_HAVE_RUN ticket_of_former_incarnation",
      "POST, /orders, forged, NOT_RUN order_ticket_invalid",
    })
    void orderWithoutAValidTicketIsRefused(
        String method, String path, String kind, String expected) {
      startService(1);
      String ticket = gateway.ticket();
      String sent =
          switch (kind) {
            case "none" -> "";
            case "bad" -> "no ticket";
            case "former" -> ticket.replaceFirst("~[0-9a-f]{32}~", "~" + "0".repeat(32) + "~");
            default -> ticket.substring(0, ticket.length() - 43) + "A".repeat(43);
          };
      gateway.call(1, method, path, "go", sent, "b");
      gateway.expect(1, expected);
      assertTrue(backend.calls.isEmpty());
    }

    /** Guards against a refusal under an old configuration that leaves the ticket usable. */
    @Test
    void refusalBeforeAdmissionSealsTheTicket() {
      startService(1);
      String ticket = gateway.ticket();
      gateway.version = 9;
      gateway.call(1, "POST", "/orders", "go", ticket, "b");
      gateway.expect(1, "NOT_RUN configuration_behind");
      assertEquals("sealed", gateway.ask("ticket_inquiry", ticket));
    }
  }

  @Nested
  class Fencing {

    /** Guards against commands that an engine rejects, and models that are not loaded. */
    @Test
    void commandsCarryANumberAboveTheReportedOne() {
      long former = System.currentTimeMillis() + 3_600_000;
      backend.highestFencingNumber.set(former);
      startEngine(1);
      Eventually.holds("command", () -> backend.commands.size() == 1);
      assertEquals("model", backend.commands.getFirst().path("model").asText());
      assertEquals(former + 1, backend.highestFencingNumber.get());
      platform.publish("{" + server("engine", "\"model\", \"b\"", 1, false) + "}");
      Eventually.holds("command", () -> backend.commands.size() == 2);
      assertEquals("b", backend.commands.getLast().path("model").asText());
    }

    /** Guards against a replaced sidecar that goes on taking work. */
    @Test
    void laterSidecarTakesOver() {
      startEngine(1);
      Eventually.holds("command", () -> backend.commands.size() == 1);
      gateway.complete(1, "high", "to1 wait to2 done");
      gateway.complete(2, "high", "to1 done");
      gateway.expect(2, "accepted");
      backend.highestFencingNumber.addAndGet(1_000);
      platform.publish("{" + server("engine", "\"model\", \"b\"", 1, false) + "}");
      gateway.expect(2, "accepted, NOT_RUN fenced");
      gateway.complete(3, "high", "to1 done");
      gateway.expect(3, "NOT_RUN fenced");
      backend.open();
      gateway.expect(1, "accepted, started, tokens 0-2, COMPLETE 2 stop");
    }
  }

  /** Guards against reports without the queue's state or a request's fate. */
  @Test
  void operatorsAndGatewaysGetReports() throws IOException {
    startEngine(3);
    gateway.complete(1, "high", "to3 done");
    gateway.expect(1, "accepted, started, tokens 0-3, COMPLETE 3 stop");
    gateway.await(
        item ->
            item.getLoadReport().getMaxRunning() == 3
                && item.getLoadReport().getEngineRunning() == 7);
    gateway.send("status_request { call_number: 1 }");
    gateway.send("explain_request { call_number: 2 request_id: 'request-1' }");
    ObjectMapper mapper = new ObjectMapper();
    JsonNode status =
        mapper.readTree(
            gateway.await(Envelope::hasStatusReport).getStatusReport().getJson().toByteArray());
    assertEquals("1", status.path("config_version").toString());
    assertEquals("[0,0,0,0]", status.path("details").path("waiting_by_tier").toString());
    JsonNode explain =
        mapper.readTree(
            gateway.await(Envelope::hasExplainReport).getExplainReport().getJson().toByteArray());
    assertEquals(
        "[admitted, started, complete]",
        explain.path("events").findValuesAsText("event").toString());
  }
}
