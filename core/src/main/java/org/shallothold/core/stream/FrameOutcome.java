package org.shallothold.core.stream;

import java.util.List;

/** Result of processing one frame or the end mark of an answer. */
public sealed interface FrameOutcome {

  /** The tokens were appended to the answer. */
  record Accepted(List<String> tokens) implements FrameOutcome {
    /** Makes an immutable copy of the list. */
    public Accepted {
      tokens = List.copyOf(tokens);
    }
  }

  /** All tokens had been accepted before; the frame is dropped. */
  record Duplicate() implements FrameOutcome {}

  /** The frame belongs to an attempt that is not current or is broken; it is dropped. */
  record Stale() implements FrameOutcome {}

  /** The attempt can't continue: a gap, a wrong token count at the end, or an answer too long. */
  record Broken() implements FrameOutcome {}

  /** The token count of the end mark matches the accepted tokens. */
  record Complete() implements FrameOutcome {}
}
