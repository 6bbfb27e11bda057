package org.shallothold.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.wire.proto.Envelope;

/**
 * The sidecar's wire interface before a fake engine or service and a fake platform. The steps of a
 * row are explained at {@link ContractScript}; each row guards against the failure that its first
 * column names.
 */
class SidecarContractTest {

  private ContractScript script;

  @BeforeEach
  void start() throws IOException {
    script = new ContractScript();
  }

  @AfterEach
  void stop() {
    script.close();
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          tokens are lost or repeated | complete 1 high to3 done; 1: accepted, started, tokens 0-3, COMPLETE 3 stop
          a resumed answer counts from its middle | complete 1 high resume=2 to5 done; 1: accepted, started, tokens 2-5, COMPLETE 5 stop
          an empty answer never ends | complete 1 high to0 done; 1: accepted, started, COMPLETE 0 stop
          a stream that breaks is complete | complete 1 high to2 close; 1: accepted, started, tokens 0-2, BROKEN 2 backend_failed
          a stream without its end mark is complete | complete 1 high to2 reason-only; 1: accepted, started, tokens 0-2, BROKEN 2 backend_failed
          an end mark without a reason is complete | complete 1 high resume=1 to2 mark-only; 1: accepted, started, tokens 1-2, BROKEN 2 backend_failed
          an unreadable event is skipped | complete 1 high to1 garbage to2 done; 1: accepted, started, tokens 0-1, BROKEN 1 backend_failed
          an engine's error is complete | complete 1 high status500; 1: accepted, started, BROKEN 0 backend_failed
          a caller's fault counts as the engine's | complete 1 high status400; 1: accepted, started, BROKEN 0 malformed_request
          an attempt that arrives twice runs twice | complete 1 high to1 done; 1: accepted, started, tokens 0-1, COMPLETE 1 stop; complete 1 high to1 done; complete 2 high to1 done; 2: accepted, started, tokens 0-1, COMPLETE 1 stop; 1: accepted, started, tokens 0-1, COMPLETE 1 stop; completions 2
          a low tier blocks a high one, or a preemption loses tokens | one slot; complete 1 low to2 wait to4 done; 1: accepted, started, tokens 0-2; complete 2 high to1 done; 2: accepted, started, tokens 0-1, COMPLETE 1 stop; open; 1: accepted, started, tokens 0-4, COMPLETE 4 stop
          cancelled work goes on | one slot; complete 1 high to2 wait done; 1: accepted, started, tokens 0-2; complete 2 high to1 done; 2: accepted; cancel 2; 2: accepted, NOT_RUN cancelled; cancel 1; cancel 1; 1: accepted, started, tokens 0-2, CANCELLED 2 cancelled; cut 1; completions 1
          work outlives its gateway | one slot; complete 1 high to2 wait done; 1: accepted, started, tokens 0-2; complete 2 high to1 done; 2: accepted; reconnect; cut 1; complete 3 high to1 done; 3: accepted, started, tokens 0-1, COMPLETE 1 stop; completions 2
          slots keep their number | one slot; complete 1 high to1 wait done; complete 2 high to1 wait done; 1: accepted, started, tokens 0-1; 2: accepted; slots 2; 2: accepted, started, tokens 0-1
          an unknown class runs | submit 1 none mill model; 1: NOT_RUN unknown_class; completions 0
          a customer without the class runs | submit 1 high none model; 1: NOT_RUN class_not_allowed; completions 0
          a class that may not reach the server runs | submit 1 other mill model; 1: NOT_RUN no_server; completions 0
          a model that the server doesn't have runs | submit 1 high mill none; 1: NOT_RUN unknown_model; completions 0
          a choice under an old version counts as the gateway's fault | version 0; submit 1 none mill model; 1: NOT_RUN configuration_behind; submit 2 high mill none; 2: NOT_RUN configuration_behind
          work runs under a version that never arrives | version 9; submit 1 high mill model; 1: NOT_RUN configuration_behind; completions 0
          work under a version that arrives late is refused | version 2; complete 1 high to1 done; slots 5; 1: accepted, started, tokens 0-1, COMPLETE 1 stop
          a restarted engine stays without its models | engine 7; commands 1; load-status 500; engine -1; load-status 200; commands 2
          a replaced sidecar takes work | one slot; commands 1; complete 1 high to1 wait to2 done; 1: accepted, started, tokens 0-1; complete 2 high to1 done; 2: accepted; fence 1000; load; 2: accepted, NOT_RUN fenced; complete 3 high to1 done; 3: NOT_RUN fenced; open; 1: accepted, started, tokens 0-2, COMPLETE 2 stop
          """)
  void completions(String guardsAgainst, String steps) {
    awaitVersion(steps);
    script.startEngine(steps.startsWith("one slot") ? 1 : 4);
    script.run(steps.replace("one slot; ", ""));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          an order runs twice | ticket; call 1 POST /orders wait b; 1: accepted, started; call 2 POST /orders wait b; call 3 POST /orders wait other; 3: NOT_RUN ticket_reused; seal handed_over; open; 1: accepted, started, 201 POST /orders; 2: accepted, started, 201 POST /orders; call 4 POST /orders wait b; 4: 201 POST /orders; state answered; orders 1
          an answer is lost with its gateway | ticket; call 1 POST /orders wait b; 1: accepted, started; reconnect; open; state answered; call 2 POST /orders wait b; 2: 201 POST /orders; orders 1
          an order is retried by the sidecar | ticket; call 1 POST /orders go b; 1: accepted, started, 201 POST /orders; ticket; call 2 POST /orders crash b; 2: accepted, started, MAY_HAVE_RUN backend_failed; call 3 POST /orders crash b; 3: MAY_HAVE_RUN backend_failed; orders 1
          an order is retried by the HTTP client | ticket; call 1 GET /claims go b; 1: accepted, started, 201 GET /claims; ticket; call 2 GET /claims crash b; 2: accepted, started, MAY_HAVE_RUN backend_failed; orders 1
          a cancelled order starts | call 1 GET /stock wait b none; 1: accepted, started; ticket; call 2 POST /orders go b; 2: accepted; cancel 2; 2: accepted, NOT_RUN cancelled; state sealed; call 3 POST /orders go b; 3: NOT_RUN ticket_sealed; open; 1: accepted, started, 201 GET /stock; orders 0
          a sealed order starts | call 1 GET /stock wait b none; 1: accepted, started; ticket; call 2 POST /orders go b; 2: accepted; seal sealed; 2: accepted, NOT_RUN ticket_sealed; open; 1: accepted, started, 201 GET /stock; orders 0
          an order starts in a leaving sidecar | call 1 GET /stock wait b none; 1: accepted, started; ticket; call 2 POST /orders go b; 2: accepted; leave signal; 2: accepted, NOT_RUN server_leaving; state sealed; call 3 POST /orders go b; 3: NOT_RUN ticket_sealed; open; 1: accepted, started, 201 GET /stock; orders 0
          a refusal at admission leaves the ticket usable | ticket; version 9; call 1 POST /orders go b; 1: NOT_RUN configuration_behind; state sealed; orders 0
          an order without a ticket runs | call 1 POST /orders go b none; 1: NOT_RUN order_ticket_required; call 2 POST /orders/7?x=1 go b none; 2: NOT_RUN order_ticket_required
          an order passes as another path | call 1 POST /%6Frders go b none; 1: NOT_RUN malformed_request; call 2 POST //orders go b none; 2: NOT_RUN malformed_request; call 3 POST /x/../orders go b none; 3: NOT_RUN malformed_request; call 4 post /orders go b none; 4: NOT_RUN malformed_request
          a text that is no ticket runs | call 1 POST /orders go b bad; 1: NOT_RUN order_ticket_invalid
          a forged ticket runs | ticket; call 1 POST /orders go b forged; 1: NOT_RUN order_ticket_invalid; state unused; orders 0
          a ticket of a former incarnation runs | ticket; call 1 POST /orders go b former; 1: MAY_HAVE_RUN ticket_of_former_incarnation; orders 0
          """)
  void orders(String guardsAgainst, String steps) {
    awaitVersion(steps);
    script.startService();
    script.run(steps);
  }

  /**
   * Version 9 never comes, so it isn't waited for long; others are, however busy the machine is.
   */
  private void awaitVersion(String steps) {
    script.versionWaitMillis = steps.contains("version 9") ? 100 : 30_000;
  }

  /** Guards against a source that is not heard, lost running work, and new work taken. */
  @ParameterizedTest
  @CsvSource({"configuration", "members", "peer", "signal"})
  void leavesAfterItsRunningWork(String source) {
    script.startEngine(1);
    script.run(
        """
        complete 1 low to1 wait to2 done; 1: accepted, started, tokens 0-1;
        complete 2 low to1 done; 2: accepted; leave %1$s; leaving %1$s;
        2: accepted, NOT_RUN server_leaving; complete 3 high to1 done; 3: NOT_RUN server_leaving;
        open; 1: accepted, started, tokens 0-2, COMPLETE 2 stop; left; completions 1
        """
            .formatted(source));
  }

  /** Guards against a process that never ends, and work that is cut without a word. */
  @Test
  void drainLimitCutsRunningWork() {
    script.drainLimitMillis = 100;
    script.startEngine(1);
    script.run(
        """
        complete 1 low to1 wait done; 1: accepted, started, tokens 0-1; leave signal;
        1: accepted, started, tokens 0-1, BROKEN 1 server_leaving; left
        """);
  }

  /** Guards against a slot held for ever by an engine that hangs. */
  @Test
  void silentEngineCountsAsLost() {
    script.silenceMillis = 4_000;
    script.startEngine(1);
    script.run(
        """
        complete 1 high to1 hang; 1: accepted, started, tokens 0-1;
        complete 2 high hang; 1: accepted, started, tokens 0-1, BROKEN 1 backend_failed;
        2: accepted, started
        """);
  }

  /** Guards against commands that an engine rejects, and models that are not loaded. */
  @Test
  void commandsCarryANumberAboveTheReportedOne() {
    long former = System.currentTimeMillis() + 3_600_000;
    script.backend.highestFencingNumber.set(former);
    script.startEngine(1);
    script.run("commands 1; load; commands 2");
    assertEquals(former + 1, script.backend.highestFencingNumber.get());
    assertEquals("model", script.backend.commands.getFirst().path("model").asText());
    assertEquals("b", script.backend.commands.getLast().path("model").asText());
  }

  /** Guards against fields of the caller that get lost, and extra fields that are missing. */
  @Test
  void engineGetsTheCallersFieldsAndTheExtraOnes() {
    script.startEngine(1);
    script.run("complete 1 low resume=1 to3 done; completions 1");
    JsonNode seen = script.backend.completions.getFirst();
    assertEquals("[1]", seen.path("x").toString());
    assertEquals("3", seen.path("priority").toString());
    assertEquals("true", seen.path("stream").toString());
    assertEquals("[\"k0\"]", seen.path("resume_tokens").toString());
  }

  /** Guards against reports without the queue's state or a request's fate. */
  @Test
  void operatorsAndGatewaysGetReports() throws IOException {
    script.startEngine(1);
    script.run("complete 1 high to3 done; 1: accepted, started, tokens 0-3, COMPLETE 3 stop");
    script.gateway.await(item -> item.getLoadReport().getEngineRunning() == 7);
    script.gateway.send("status_request { call_number: 1 }");
    script.gateway.send("explain_request { call_number: 2 request_id: 'request-1' }");
    Envelope status = script.gateway.await(Envelope::hasStatusReport);
    Envelope explain = script.gateway.await(Envelope::hasExplainReport);
    ObjectMapper mapper = new ObjectMapper();
    JsonNode details =
        mapper.readTree(status.getStatusReport().getJson().toByteArray()).path("details");
    assertEquals("[0,0,0,0]", details.path("waiting_by_tier").toString());
    JsonNode events =
        mapper.readTree(explain.getExplainReport().getJson().toByteArray()).path("events");
    assertEquals("[admitted, started, complete]", events.findValuesAsText("event").toString());
  }
}
