package org.shallothold.gateway.forward.port;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.PromptPart;

/**
 * Header fields of a caller's request, decoded.
 *
 * @param requestId id that the caller gave this attempt; null if unspecified
 * @param timeoutMillis time that the caller waits for the response, in milliseconds; 0 if
 *     unspecified
 * @param apiKey the caller's API key; null if unspecified
 * @param lastEventId id of the last event that the caller received of the stream that it resumes;
 *     {@link #NO_EVENT} if it resumes none
 * @param promptParts parts of the prompt in order; empty for plain services
 * @param promptTokens length of the prompt, in tokens; 0 if unspecified
 * @param maxOutputTokens maximum length of the output, in tokens; 0 if unspecified
 * @param expectedOutputTokens the caller's estimate of the output's length, in tokens; 0 if
 *     unspecified
 */
public record RequestMetadata(
    @Nullable String requestId,
    long timeoutMillis,
    @Nullable String apiKey,
    long lastEventId,
    List<PromptPart> promptParts,
    int promptTokens,
    int maxOutputTokens,
    int expectedOutputTokens) {

  /** Value of {@link #lastEventId} for a request that resumes no stream. */
  public static final long NO_EVENT = -1;
}
