package org.shallothold.sidecar.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothold.sidecar.backend.RepeatingServer.Moment;
import org.shallothold.wire.proto.Header;
import org.shallothold.wire.proto.ServiceCall;

/**
 * A backend server that responds to a request twice, the second time late and cut anywhere. Its
 * responses name no request, so that one on a kept connection was taken for the response to the
 * next request.
 */
class HttpBackendAdditionalResponseTest {

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  /** Guards against a failed order that is reported as acted on. */
  @ParameterizedTest
  @EnumSource
  void orderGetsItsOwnResponse(Moment moment) throws IOException {
    assertEquals(
        List.of(),
        wrongOutcomes(
            moment,
            HttpBackendAdditionalResponseTest::serviceResponse,
            (backend, outcome) ->
                backend.call(
                    ServiceCall.newBuilder()
                        .setMethod("POST")
                        .setPath("orders")
                        .setBody(ByteString.copyFromUtf8("{}"))
                        .build(),
                    outcome),
            "500 failed 2"));
  }

  /** Guards against the same fault where the client itself may repeat a request. */
  @ParameterizedTest
  @EnumSource
  void readingCallGetsItsOwnResponse(Moment moment) throws IOException {
    assertEquals(
        List.of(),
        wrongOutcomes(
            moment,
            HttpBackendAdditionalResponseTest::serviceResponse,
            (backend, outcome) ->
                backend.call(
                    ServiceCall.newBuilder().setMethod("GET").setPath("stock").build(), outcome),
            "500 failed 2"));
  }

  /** Guards against tokens of one completion in another. */
  @ParameterizedTest
  @EnumSource
  void completionGetsItsOwnTokens(Moment moment) throws IOException {
    assertEquals(
        List.of(),
        wrongOutcomes(
            moment,
            HttpBackendAdditionalResponseTest::completionResponse,
            (backend, outcome) ->
                backend.complete("{}".getBytes(StandardCharsets.UTF_8), 0, List.of(), outcome),
            "[k2] stop"));
  }

  private List<String> wrongOutcomes(
      Moment moment,
      IntFunction<byte[]> responses,
      BiConsumer<Backend, Outcome> start,
      String expected)
      throws IOException {
    List<String> wrong = new ArrayList<>();
    int wholeLength = responses.apply(1).length;
    for (int length = 1; length <= wholeLength; length++) {
      try (RepeatingServer server = new RepeatingServer(responses, moment, length)) {
        Backend backend =
            HttpBackend.of(server.url(), HttpClients.createSingleUse(1_000, executor), executor);
        Outcome first = new Outcome();
        start.accept(backend, first);
        first.result.join();
        server.firstResponseReceived();
        Outcome second = new Outcome();
        start.accept(backend, second);
        String result = second.result.join();
        if (!result.equals(expected) || server.requests() != 2) {
          wrong.add(
              "%d of %d bytes: %s, %d requests"
                  .formatted(length, wholeLength, result, server.requests()));
        }
      }
    }
    return wrong;
  }

  private static byte[] serviceResponse(int number) {
    String body = number == 1 ? "done 1" : "failed " + number;
    return """
        HTTP/1.1 %s\r
        Content-Type: text/plain\r
        Content-Length: %d\r
        \r
        %s"""
        .formatted(number == 1 ? "201 Created" : "500 Failed", body.length(), body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] completionResponse(int number) {
    String body =
        """
        data: {"choices":[{"delta":{"content":"k%d"}}]}

        data: {"choices":[{"delta":{},"finish_reason":"stop"}]}

        data: [DONE]

        """
            .formatted(number);
    return """
        HTTP/1.1 200 OK\r
        Content-Type: text/event-stream\r
        Transfer-Encoding: chunked\r
        \r
        %x\r
        %s\r
        0\r
        \r
        """
        .formatted(body.length(), body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static final class Outcome implements BackendListener {

    private final List<String> tokens = new ArrayList<>();
    private final CompletableFuture<String> result = new CompletableFuture<>();

    @Override
    public synchronized void tokens(List<String> more) {
      tokens.addAll(more);
    }

    @Override
    public synchronized void finished(String finishReason) {
      result.complete(tokens + " " + finishReason);
    }

    @Override
    public void answered(int status, List<Header> headers, ByteString body) {
      result.complete(status + " " + body.toStringUtf8());
    }

    @Override
    public void failed(BackendFailure failure) {
      result.complete("failed: " + failure.detail());
    }
  }
}
