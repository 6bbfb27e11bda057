package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bad HTTP input that gets the wrong code, runs anything or leaks resources. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HttpContractTest {

  private static final String GOOD =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}";

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeAll
  void start() {
    fixture.setting("http.max_body_bytes", "2048");
    fixture.engine("engine-1");
    fixture.service("stock-1");
    fixture.start();
  }

  @AfterAll
  void close() {
    fixture.close();
  }

  /** The body GOOD stands for a valid completion, LARGE for one above the size limit. */
  @ParameterizedTest(name = "{0} {1} with {2} and {3}")
  @CsvSource(
      delimiter = '|',
      value = {
        "POST | /v1/chat/completions | key-miller | ''                      | {bad                              | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | []                                | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":\"m\"}                 | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":1,\"messages\":[{}]}   | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":\"m\",\"messages\":[{}],\"stream\":\"y\"} | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":\"m\",\"messages\":[{}],\"n\":2} | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":\"m\",\"messages\":[{}]} {} | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | LARGE                             | 413 | body_too_large",
        "POST | /v1/chat/completions | key-miller | Shallothold-Deadline-Ms: 0 | GOOD                           | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | Shallothold-Deadline-Ms: x | GOOD                           | 400 | malformed_request",
        "POST | /v1/chat/completions | key-miller | ''                      | {\"model\":\"z\",\"messages\":[{}]} | 404 | unknown_model",
        "POST | /v1/chat/completions | key-miller | Shallothold-Class: none | GOOD                              | 400 | unknown_class",
        "POST | /v1/chat/completions | key-miller | Shallothold-Class: secret | GOOD                            | 403 | class_not_allowed",
        "POST | /v1/chat/completions | key-other  | ''                      | GOOD                              | 401 | unauthenticated",
        "POST | /v1/chat/completions | ''         | ''                      | GOOD                              | 401 | unauthenticated",
        "GET  | /v1/chat/completions | key-miller | ''                      | ''                                | 404 | not_found",
        "GET  | /v1/nothing          | key-miller | ''                      | ''                                | 404 | not_found",
        "GET  | /v1/models           | key-other  | ''                      | ''                                | 401 | unauthenticated",
        "GET  | /services/none/a     | key-miller | ''                      | ''                                | 404 | unknown_service",
        "POST | /services/stock//orders   | key-miller | ''                 | x                                 | 400 | malformed_request",
        "POST | /services/stock/a/../orders | key-miller | ''               | x                                 | 400 | malformed_request",
        "POST | /services/stock/a/%2e%2e/orders | key-miller | ''           | x                                 | 400 | malformed_request",
        "POST | /services/stock/x%2forders | key-miller | ''                | x                                 | 400 | malformed_request",
        "POST | /services/stock/%256frders | key-miller | ''                | x                                 | 400 | malformed_request",
        "POST | /services/stock/orders;x  | key-miller | ''                 | x                                 | 400 | malformed_request",
        "POST | /services/stock/orders    | key-miller | Idempotency-Key: x | x                                 | 400 | order_ticket_invalid",
        "POST | /v1/order-tickets         | key-miller | ''                 | {\"service\":\"none\"}            | 404 | unknown_service",
        "POST | /v1/order-tickets         | key-miller | ''                 | {}                                | 400 | malformed_request",
        "GET  | /v1/order-tickets/x       | key-miller | ''                 | ''                                | 400 | order_ticket_invalid",
      })
  void badInputIsRefusedWithItsCode(
      String method, String path, String key, String header, String body, int status, String code) {
    String sent =
        switch (body) {
          case "GOOD" -> GOOD;
          case "LARGE" -> GOOD + " ".repeat(4_096);
          default -> body;
        };
    HttpRequest.Builder request =
        HttpRequest.newBuilder(fixture.uri(path)).method(method, BodyPublishers.ofString(sent));
    if (!key.isEmpty()) {
      request.header("Authorization", "Bearer " + key);
    }
    if (!header.isEmpty()) {
      int colon = header.indexOf(": ");
      request.header(header.substring(0, colon), header.substring(colon + 2));
    }
    check(fixture.send(request.build()), status, code);
  }

  @Test
  void longHeadersAreRefused() {
    check(
        fixture.send(fixture.request("/v1/models").header("X-Long", "x".repeat(20_000)).build()),
        431,
        "headers_too_large");
  }

  private void check(HttpResponse<String> response, int status, String code) {
    assertEquals(new SeenAnswer(status, "", false, code, "not_run"), SeenAnswer.of(response));
    assertEquals("not_run", response.headers().firstValue("Shallothold-Verdict").orElse(""));
    assertTrue(response.headers().firstValue("Shallothold-Request-Id").isPresent());
    assertEquals(0, fixture.arrivals.size(), "nothing reaches a sidecar");
    assertEquals(0, fixture.metric("shallothold_in_flight_requests"), "nothing is held");
  }

  @Test
  void encodedPathOfAnOrderIsTreatedAsAnOrder() {
    // The path is decoded as the service would decode it: %6f is the letter o.
    HttpResponse<String> response =
        fixture.send(
            fixture
                .request("/services/stock/%6frders")
                .header("Shallothold-Deadline-Ms", "200")
                .POST(BodyPublishers.ofString("x"))
                .build());
    assertEquals("deadline", SeenAnswer.of(response).code());
    assertEquals(
        1,
        fixture
            .sidecar("stock-1")
            .count(org.shallothold.wire.proto.Envelope.MessageCase.TICKET_REQUEST));
  }

  @Test
  void modelsOfTheCustomersClassesAreListed() {
    var list = SeenAnswer.json(fixture.send(fixture.request("/v1/models").build()).body());
    assertEquals("m", list.path("data").path(0).path("id").asText());
    assertEquals("list", list.path("object").asText());
  }

  @Test
  void streamHasTheShapeThatClientsExpect() {
    var lines =
        fixture
            .join(fixture.complete(true))
            .body()
            .lines()
            .filter(line -> !line.isEmpty())
            .toList();
    var first = SeenAnswer.json(lines.getFirst().substring("data: ".length()));
    assertEquals("chat.completion.chunk", first.path("object").asText());
    assertEquals("assistant", first.path("choices").path(0).path("delta").path("role").asText());
    var last = SeenAnswer.json(lines.get(lines.size() - 2).substring("data: ".length()));
    assertEquals("stop", last.path("choices").path(0).path("finish_reason").asText());
    assertEquals("data: [DONE]", lines.getLast());
    fixture.arrivals.clear();
  }
}
