package org.shallothold.core.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Puts the answer to one request together from the token frames of its attempts. Made for each
 * request by the gateway; owned by one thread. Tokens once accepted stay: a later attempt goes on
 * after them.
 */
public final class AnswerAssembler {

  private final int maxCharacters;
  private final List<String> tokens = new ArrayList<>();
  private int attempt;
  private boolean broken;
  private int characters;

  private AnswerAssembler(int maxCharacters) {
    this.maxCharacters = maxCharacters;
  }

  /**
   * Returns an assembler without tokens.
   *
   * @param maxCharacters bound of the whole answer; an answer above it ends as broken
   */
  public static AnswerAssembler create(int maxCharacters) {
    return new AnswerAssembler(maxCharacters);
  }

  /** Makes an attempt the current one; frames of all others are ignored from here on. */
  public void begin(int attemptNumber) {
    attempt = attemptNumber;
    broken = false;
  }

  /** Takes a frame and returns what became of it. */
  public FrameOutcome accept(int attemptNumber, int offset, List<String> frame) {
    if (attemptNumber != attempt || broken) {
      return new FrameOutcome.Foreign();
    }
    if (offset != tokens.size()) {
      // A frame that overlaps the end would leave a gap if dropped, and it disagrees on the
      // offsets.
      boolean known = offset >= 0 && offset + frame.size() <= tokens.size();
      return known ? new FrameOutcome.Duplicate() : breakOff();
    }
    int added = frame.stream().mapToInt(String::length).sum();
    if (characters + added > maxCharacters) {
      return breakOff();
    }
    characters += added;
    tokens.addAll(frame);
    return new FrameOutcome.Accepted(frame);
  }

  /** Takes the end mark of an attempt and returns whether the answer is complete. */
  public FrameOutcome finish(int attemptNumber, int tokenCount) {
    if (attemptNumber != attempt || broken) {
      return new FrameOutcome.Foreign();
    }
    return tokenCount == tokens.size() ? new FrameOutcome.Complete() : breakOff();
  }

  /** Returns the accepted tokens, as a view that must not outlive the request. */
  public List<String> tokens() {
    return Collections.unmodifiableList(tokens);
  }

  private FrameOutcome breakOff() {
    broken = true;
    return new FrameOutcome.Broken();
  }
}
