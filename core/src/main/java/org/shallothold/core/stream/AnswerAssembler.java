package org.shallothold.core.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Assembles the answer to one request from the token frames of its attempts. Accepted tokens are
 * never discarded; a later attempt continues after them. The gateway creates one per request; owned
 * by one thread.
 */
public final class AnswerAssembler {

  private final int maxCharacters;
  private final List<String> tokens = new ArrayList<>();
  private int currentAttempt;
  private boolean broken;
  private int characters;

  private AnswerAssembler(int maxCharacters) {
    this.maxCharacters = maxCharacters;
  }

  /**
   * Returns an assembler without tokens.
   *
   * @param maxCharacters maximum length of the answer in characters; a longer answer is broken
   */
  public static AnswerAssembler create(int maxCharacters) {
    return new AnswerAssembler(maxCharacters);
  }

  /** Sets the current attempt; frames of all other attempts are ignored from now on. */
  public void begin(int attemptNumber) {
    currentAttempt = attemptNumber;
    broken = false;
  }

  /**
   * Adds a token frame to the answer.
   *
   * @param attemptNumber attempt that the frame belongs to
   * @param offset number of answer tokens before the frame
   * @param frame tokens of the frame
   * @return whether the frame was added, was dropped or breaks the attempt
   */
  public FrameOutcome accept(int attemptNumber, int offset, List<String> frame) {
    if (attemptNumber != currentAttempt || broken) {
      return new FrameOutcome.Stale();
    }
    if (offset != tokens.size()) {
      // A frame that overlaps the end of the answer breaks the attempt: its offsets contradict the
      // accepted tokens, and dropping it would leave a gap.
      boolean alreadyAccepted = offset >= 0 && offset + frame.size() <= tokens.size();
      return alreadyAccepted ? new FrameOutcome.Duplicate() : markBroken();
    }
    int addedCharacters = frame.stream().mapToInt(String::length).sum();
    if (characters + addedCharacters > maxCharacters) {
      return markBroken();
    }
    characters += addedCharacters;
    tokens.addAll(frame);
    return new FrameOutcome.Accepted(frame);
  }

  /**
   * Processes the end mark of an attempt.
   *
   * @param tokenCount number of answer tokens that the end mark states
   * @return complete if the count matches the accepted tokens, broken if not, stale for an attempt
   *     that is not current or is broken
   */
  public FrameOutcome finish(int attemptNumber, int tokenCount) {
    if (attemptNumber != currentAttempt || broken) {
      return new FrameOutcome.Stale();
    }
    return tokenCount == tokens.size() ? new FrameOutcome.Complete() : markBroken();
  }

  /** Returns a live, unmodifiable view of the accepted tokens; valid as long as the request. */
  public List<String> tokens() {
    return Collections.unmodifiableList(tokens);
  }

  private FrameOutcome markBroken() {
    broken = true;
    return new FrameOutcome.Broken();
  }
}
