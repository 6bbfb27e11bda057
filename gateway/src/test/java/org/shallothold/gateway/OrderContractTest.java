package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.TicketGrant;
import org.shallothold.wire.proto.TicketState;
import org.shallothold.wire.proto.VerdictKind;

/**
 * Guards against an order that is sent twice or to another server, and against a "not run" verdict
 * that its sidecar did not report.
 */
class OrderContractTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void start() {
    for (String id : new String[] {"stock-1", "stock-2"}) {
      FakeSidecar service = fixture.service(id);
      service.onCall = OrderContractTest::answerCall;
    }
    fixture.start();
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private static String ticket(String server) {
    return "stock~" + server + "~" + "0".repeat(32) + "~1~" + "A".repeat(43);
  }

  private static void answerCall(FakeSidecar.Call call) {
    Envelope.Builder answer = Envelope.newBuilder();
    switch (call.envelope().getMessageCase()) {
      case TICKET_REQUEST ->
          answer.setTicketGrant(
              TicketGrant.newBuilder()
                  .setCallNumber(call.envelope().getTicketRequest().getCallNumber())
                  .setTicket(ticket(call.sidecar().serverId())));
      case TICKET_INQUIRY ->
          answer.setTicketState(
              TicketState.newBuilder()
                  .setCallNumber(call.envelope().getTicketInquiry().getCallNumber())
                  .setState("answered"));
      default ->
          answer.setTicketState(
              TicketState.newBuilder()
                  .setCallNumber(call.envelope().getTicketSeal().getCallNumber())
                  .setState("sealed"));
    }
    call.connection().send(answer.build());
  }

  private HttpResponse<String> order(String ticket, String... headers) {
    var request =
        fixture.request("/services/stock/orders").POST(BodyPublishers.ofString("one loaf"));
    if (!ticket.isEmpty()) {
      request.header("Idempotency-Key", ticket);
    }
    return fixture.send((headers.length == 0 ? request : request.headers(headers)).build());
  }

  @ParameterizedTest(name = "sidecar: {0}")
  @CsvSource({
    "answers,            200, '',                            '',           1",
    "loses connection,   502, connection_lost,               may_have_run, 1",
    "refuses not_run,    503, queue_full,                    not_run,      1",
    "refuses former,     409, ticket_of_former_incarnation,  may_have_run, 1",
    "refuses reused,     422, ticket_reused,                 not_run,      1",
    "is silent,          504, deadline,                      may_have_run, 1",
    "started and silent, 504, deadline,                      may_have_run, 1",
    "seals on cancel,    504, deadline,                      not_run,      1",
    "is unknown,         503, no_server,                     may_have_run, 0",
  })
  void orderGoesOnceToTheServerOfItsTicket(
      String behaviour, int status, String code, String verdict, int arrivals) {
    fixture.script(
        arrival -> {
          switch (behaviour) {
            case "answers" -> arrival.answered(200, "{}");
            case "loses connection" -> arrival.connection().close();
            case "refuses not_run" ->
                arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "queue_full", 10);
            case "refuses former" ->
                arrival.refused(
                    VerdictKind.VERDICT_KIND_MAY_HAVE_RUN, "ticket_of_former_incarnation", 0);
            case "refuses reused" ->
                arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "ticket_reused", 0);
            case "started and silent" -> arrival.started();
            default -> {}
          }
        });
    if (behaviour.equals("seals on cancel")) {
      fixture.sidecar("stock-1").onCancel =
          arrival -> arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "cancelled", 0);
    }
    HttpResponse<String> response =
        order(
            ticket(behaviour.equals("is unknown") ? "stock-9" : "stock-1"),
            "Shallothold-Deadline-Ms",
            status == 504 ? "100" : "20000");
    assertEquals(new SeenAnswer(status, "", false, code, verdict), SeenAnswer.of(response));
    assertEquals(status == 200 ? "{}" : response.body(), response.body());
    assertEquals(arrivals, fixture.arrivals.size());
    assertEquals(0, fixture.sidecar("stock-2").count(Envelope.MessageCase.SUBMIT));
  }

  @Test
  void orderWithoutTicketGetsOneAndRunsNothing() {
    HttpResponse<String> response = order("");
    assertEquals(
        new SeenAnswer(428, "", false, "order_ticket_required", "not_run"),
        SeenAnswer.of(response));
    String ticket = response.headers().firstValue("Order-Ticket").orElse("");
    assertEquals(0, fixture.arrivals.size());
    fixture.script(arrival -> arrival.answered(201, "baked"));
    assertEquals(201, order(ticket).statusCode());
    assertEquals(ticket, fixture.arrivals.get(0).submit().getServiceCall().getOrderTicket());
  }

  @Test
  void leavingServerIsStillAskedForItsOrder() {
    fixture.publish(server -> server.withDraining(server.id().equals("stock-1")));
    GatewayFixture.await(
        "version 2", () -> fixture.metric("shallothold_config_version_number") == 2);
    fixture.script(arrival -> arrival.answered(200, "baked"));
    assertEquals(200, order(ticket("stock-1")).statusCode());
  }

  @Test
  void repeatableCallIsSentToAnotherServerAfterALoss() {
    fixture.members(MembershipView.EMPTY);
    fixture.script(Play.ACK_LOST);
    fixture.script(arrival -> arrival.answered(200, "full"));
    HttpResponse<String> response = fixture.send(fixture.request("/services/stock/items").build());
    assertEquals("full", response.body());
    assertEquals(2, fixture.arrivals.size());
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource({
    "POST,   '',      201, '',       ''",
    "GET,    stock-1, 200, answered, false",
    "DELETE, stock-1, 200, sealed,   true",
  })
  void ticketsAreIssuedReadAndSealed(
      String method, String server, int status, String state, String notRun) {
    String path = "/v1/order-tickets" + (server.isEmpty() ? "" : "/" + ticket(server));
    HttpResponse<String> response =
        fixture.send(
            fixture
                .request(path)
                .method(
                    method,
                    BodyPublishers.ofString(server.isEmpty() ? "{\"service\":\"stock\"}" : ""))
                .build());
    assertEquals(status, response.statusCode());
    var body = SeenAnswer.json(response.body());
    assertEquals(state, body.path("state").asText());
    assertEquals(notRun, body.path("not_run").asText());
  }

  @Test
  void ticketOfAnUnreachableServerIsReportedAsMayHaveRun() {
    HttpResponse<String> response =
        fixture.send(fixture.request("/v1/order-tickets/" + ticket("stock-9")).build());
    assertEquals("may_have_run", SeenAnswer.of(response).verdict());
  }
}
