package org.shallothold.sidecar.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Reads the body of an engine's answer and reports its tokens. An answer counts as finished only if
 * both the event with a finish reason and the end mark arrived. Created per run.
 */
final class CompletionStream implements BodySubscriber<@Nullable Void> {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String END_MARK = "[DONE]";

  private final BackendListener listener;
  private final EventStreamParser parser = new EventStreamParser();
  private final CompletableFuture<@Nullable Void> done = new CompletableFuture<>();
  private Flow.@Nullable Subscription subscription;
  private @Nullable String finishReason;
  private boolean ended;

  CompletionStream(BackendListener listener) {
    this.listener = listener;
  }

  @Override
  public CompletionStage<@Nullable Void> getBody() {
    return done;
  }

  @Override
  public void onSubscribe(Flow.Subscription newSubscription) {
    subscription = newSubscription;
    newSubscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(List<ByteBuffer> buffers) {
    if (ended) {
      return;
    }
    List<String> tokens = new ArrayList<>();
    try {
      for (ByteBuffer buffer : buffers) {
        for (String text : parser.feed(buffer)) {
          take(text, tokens);
        }
      }
    } catch (JsonProcessingException | IllegalStateException e) {
      deliver(tokens);
      fail("the engine's stream can't be read: " + e.getMessage());
      return;
    }
    deliver(tokens);
    if (ended) {
      listener.finished(finishReason == null ? "" : finishReason);
    }
  }

  @Override
  public void onError(Throwable error) {
    fail("the engine's stream broke: " + error);
    done.complete(null);
  }

  @Override
  public void onComplete() {
    fail("the engine's stream ended without its end mark");
    done.complete(null);
  }

  private void take(String text, List<String> tokens) throws JsonProcessingException {
    if (ended) {
      return;
    }
    if (text.equals(END_MARK)) {
      if (finishReason == null) {
        throw new IllegalStateException("the end mark came without a finish reason");
      }
      ended = true;
      return;
    }
    JsonNode choice = MAPPER.readTree(text).path("choices").path(0);
    String token = choice.path("delta").path("content").asText("");
    if (!token.isEmpty()) {
      tokens.add(token);
    }
    JsonNode reason = choice.path("finish_reason");
    if (reason.isTextual()) {
      finishReason = reason.textValue();
    }
  }

  private void deliver(List<String> tokens) {
    if (!tokens.isEmpty()) {
      listener.tokens(tokens);
    }
  }

  private void fail(String detail) {
    if (ended) {
      return;
    }
    ended = true;
    listener.failed(new BackendFailure(ReasonCode.BACKEND_FAILED, detail));
    Flow.Subscription open = subscription;
    if (open != null) {
      open.cancel();
    }
  }
}
