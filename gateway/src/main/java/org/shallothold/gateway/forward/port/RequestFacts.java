package org.shallothold.gateway.forward.port;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.PromptPart;

/**
 * What the head of a caller's request says.
 *
 * @param requestId the caller's id of this attempt; null if it gave none
 * @param deadlineMillis how long the caller waits, in milliseconds; 0 if it didn't say
 * @param key the caller's key; null if it gave none
 * @param lastEventId last event that the caller has of the stream it resumes; -1 if it resumes none
 * @param parts parts of the prompt in order; empty for plain services
 * @param promptTokens tokens of the prompt; 0 if not told
 * @param maxOutputTokens most tokens of the answer; 0 if not told
 * @param expectedOutputTokens the caller's estimate of the answer; 0 if not told
 */
public record RequestFacts(
    @Nullable String requestId,
    long deadlineMillis,
    @Nullable String key,
    long lastEventId,
    List<PromptPart> parts,
    int promptTokens,
    int maxOutputTokens,
    int expectedOutputTokens) {

  /** The request resumes no stream. */
  public static final long NO_EVENT = -1;
}
