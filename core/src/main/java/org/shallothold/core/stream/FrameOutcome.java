package org.shallothold.core.stream;

import java.util.List;

/** What became of one frame of an answer. */
public sealed interface FrameOutcome {

  /** The tokens are the next ones of the answer. */
  record Accepted(List<String> tokens) implements FrameOutcome {
    /** Copies the list. */
    public Accepted {
      tokens = List.copyOf(tokens);
    }
  }

  /** All tokens were known already; dropped. */
  record Duplicate() implements FrameOutcome {}

  /** The frame belongs to another attempt, or to one that is broken already; dropped. */
  record Foreign() implements FrameOutcome {}

  /** The attempt can't be continued: a gap, an end at another count, or too long an answer. */
  record Broken() implements FrameOutcome {}

  /** The end mark fits the accepted tokens. */
  record Complete() implements FrameOutcome {}
}
