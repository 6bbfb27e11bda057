package org.shallothold.sidecar.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.runtime.http.SingleUseHttpClient;
import org.shallothold.wire.proto.Header;
import org.shallothold.wire.proto.ServiceCall;

/** The backend server over HTTP. Made once per process; may be shared between threads. */
public final class HttpBackend implements Backend {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  // Below the largest frame between processes.
  private static final long MAX_ANSWER_BYTES = 4 * 1024 * 1024;
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  // Headers of one connection, and those that the HTTP client sets itself.
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "http2-settings",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final URI base;
  private final SingleUseHttpClient client;
  private final Executor executor;

  private HttpBackend(URI base, SingleUseHttpClient client, Executor executor) {
    this.base = base;
    this.client = client;
    this.executor = executor;
  }

  /**
   * Returns the backend server at a base address.
   *
   * @param executor builds request bodies, which may be large
   */
  public static HttpBackend of(URI base, SingleUseHttpClient client, Executor executor) {
    return new HttpBackend(base, client, executor);
  }

  @Override
  public BackendRun complete(
      byte[] body, int priority, List<String> resumeTokens, BackendListener listener) {
    Run run = new Run(listener);
    executor.execute(() -> sendCompletion(run, body, priority, resumeTokens));
    return run;
  }

  @Override
  public BackendRun call(ServiceCall call, BackendListener listener) {
    Run run = new Run(listener);
    executor.execute(() -> sendCall(run, call));
    return run;
  }

  private void sendCompletion(Run run, byte[] body, int priority, List<String> resumeTokens) {
    byte[] engineBody;
    try {
      engineBody = engineBody(body, priority, resumeTokens);
    } catch (IOException e) {
      run.failed(new BackendFailure(ReasonCode.MALFORMED_REQUEST, "the body is not JSON"));
      return;
    }
    HttpRequest request =
        HttpRequest.newBuilder(base.resolve("v1/chat/completions"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofByteArray(engineBody))
            .build();
    run.send(
        client,
        request,
        info ->
            info.statusCode() == 200
                ? new CompletionStream(run)
                : BodySubscribers.mapping(
                    BodySubscribers.discarding(), ignored -> run.rejected(info.statusCode())),
        ignored -> {});
  }

  private void sendCall(Run run, ServiceCall call) {
    HttpRequest request;
    try {
      request = serviceRequest(call);
    } catch (IllegalArgumentException e) {
      run.failed(
          new BackendFailure(
              ReasonCode.MALFORMED_REQUEST, "the call can't be sent: " + e.getMessage()));
      return;
    }
    run.send(
        client,
        request,
        HttpResponse.BodyHandlers.limiting(
            HttpResponse.BodyHandlers.ofByteArray(), MAX_ANSWER_BYTES),
        response ->
            run.answered(
                response.statusCode(), headers(response), ByteString.copyFrom(response.body())));
  }

  private static byte[] engineBody(byte[] body, int priority, List<String> resumeTokens)
      throws IOException {
    JsonNode node = MAPPER.readTree(body);
    if (!(node instanceof ObjectNode object)) {
      throw new IOException("the body is not a JSON object");
    }
    object.put("stream", true);
    object.put("priority", priority);
    ArrayNode tokens = object.putArray("resume_tokens");
    resumeTokens.forEach(tokens::add);
    try {
      return MAPPER.writeValueAsBytes(object);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  private HttpRequest serviceRequest(ServiceCall call) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(base.resolve(call.getPath()))
            .method(
                call.getMethod(),
                call.getBody().isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(call.getBody().toByteArray()));
    call.getHeadersList().stream()
        .filter(header -> isForwarded(header.getName()))
        .filter(header -> !header.getName().equalsIgnoreCase(IDEMPOTENCY_KEY))
        .forEach(header -> builder.header(header.getName(), header.getValue()));
    if (!call.getOrderTicket().isEmpty()) {
      builder.header(IDEMPOTENCY_KEY, call.getOrderTicket());
    }
    return builder.build();
  }

  private static List<Header> headers(HttpResponse<byte[]> response) {
    List<Header> headers = new ArrayList<>();
    response
        .headers()
        .map()
        .forEach(
            (name, values) -> {
              if (isForwarded(name)) {
                values.forEach(
                    value ->
                        headers.add(Header.newBuilder().setName(name).setValue(value).build()));
              }
            });
    return headers;
  }

  private static boolean isForwarded(String name) {
    return !name.startsWith(":") && !CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  /** One exchange; passes on at most one outcome and nothing after a cancel. */
  private static final class Run implements BackendRun, BackendListener {

    private final BackendListener listener;
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicReference<@Nullable CompletableFuture<?>> exchange =
        new AtomicReference<>();

    Run(BackendListener listener) {
      this.listener = listener;
    }

    <T> void send(
        SingleUseHttpClient client,
        HttpRequest request,
        HttpResponse.BodyHandler<T> handler,
        java.util.function.Consumer<HttpResponse<T>> onResponse) {
      if (over.get()) {
        return;
      }
      CompletableFuture<HttpResponse<T>> future = client.sendAsync(request, handler);
      exchange.set(future);
      if (over.get()) {
        future.cancel(true);
      }
      future.whenComplete(
          (response, error) -> {
            if (error != null) {
              failed(
                  new BackendFailure(
                      ReasonCode.BACKEND_FAILED, "the backend server failed: " + error));
            } else {
              onResponse.accept(response);
            }
          });
    }

    @Override
    public void cancel() {
      over.set(true);
      CompletableFuture<?> open = exchange.get();
      if (open != null) {
        open.cancel(true);
      }
    }

    @Nullable Void rejected(int status) {
      failed(
          new BackendFailure(
              status == 400 ? ReasonCode.MALFORMED_REQUEST : ReasonCode.BACKEND_FAILED,
              "the engine answered with status " + status));
      return null;
    }

    @Override
    public void tokens(List<String> tokens) {
      if (!over.get()) {
        listener.tokens(tokens);
      }
    }

    @Override
    public void finished(String finishReason) {
      if (over.compareAndSet(false, true)) {
        listener.finished(finishReason);
      }
    }

    @Override
    public void answered(int status, List<Header> headers, ByteString body) {
      if (over.compareAndSet(false, true)) {
        listener.answered(status, headers, body);
      }
    }

    @Override
    public void failed(BackendFailure failure) {
      if (over.compareAndSet(false, true)) {
        listener.failed(failure);
      }
    }
  }
}
