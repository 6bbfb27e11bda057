package org.shallothold.experiment.caller;

import java.util.List;

/**
 * What a caller got for a completion. Times are in nanoseconds since the request was sent.
 *
 * @param request the request
 * @param outcome what came of it
 * @param status HTTP status; 0 if there was none
 * @param code reason code of a refusal; empty if there is none
 * @param requestId the gateway's id of the request; empty if there is none
 * @param text text received
 * @param retryAfterSeconds the refusal's {@code Retry-After}; -1 if there is none
 * @param tokenNanos arrival of each token of a streamed answer
 * @param endNanos end of the answer, or of the refusal
 */
public record CompletionResult(
    CompletionRequest request,
    Outcome outcome,
    int status,
    String code,
    String requestId,
    String text,
    long retryAfterSeconds,
    List<Long> tokenNanos,
    long endNanos) {

  /** Copies the list. */
  public CompletionResult {
    tokenNanos = List.copyOf(tokenNanos);
  }

  /** Returns whether the complete and right answer came. */
  public boolean complete() {
    return outcome == Outcome.COMPLETE;
  }

  /** Returns the time to the first token; of an answer in one piece, to its end. */
  public long firstTokenNanos() {
    return tokenNanos.isEmpty() ? endNanos : tokenNanos.getFirst();
  }

  /** Returns the mean time between tokens; 0 if there are less than two. */
  public long meanIntervalNanos() {
    return tokenNanos.size() < 2
        ? 0
        : (tokenNanos.getLast() - tokenNanos.getFirst()) / (tokenNanos.size() - 1);
  }

  /** Returns the outcome in one line. */
  public String summary() {
    return "%s (status %d, code '%s', %d of %d tokens, request %s)"
        .formatted(
            outcome,
            status,
            code,
            request.stream() ? tokenNanos.size() : text.split(" ", -1).length,
            request.length(),
            requestId);
  }
}
