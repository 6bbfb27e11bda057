package org.shallothold.core.rate;

import org.jspecify.annotations.Nullable;

/**
 * What a backend server states about how much longer it stays cold, in its entry or in a response.
 * Immutable.
 */
public sealed interface ColdFigure {

  /** Longest time that is taken from a figure, in milliseconds. */
  long MAX_MILLIS = 60_000;

  /**
   * A usable figure.
   *
   * @param millis time for which the server stays cold; at most {@link #MAX_MILLIS}, 0 if it isn't
   */
  record Stated(long millis) implements ColdFigure {}

  /**
   * A figure out of range, which is replaced by the nearest one in range.
   *
   * @param millis the replacement
   * @param text the figure as it was received
   */
  record OutOfRange(long millis, String text) implements ColdFigure {}

  /**
   * A figure that is no number. It is ignored.
   *
   * @param text the figure as it was received
   */
  record Unusable(String text) implements ColdFigure {}

  /** No figure. */
  record Absent() implements ColdFigure {}

  /** Returns the figure of an entry or a response without one. */
  static ColdFigure absent() {
    return new Absent();
  }

  /** Returns the figure of a text in milliseconds; {@link Absent} if there is no text. */
  static ColdFigure parse(@Nullable String text) {
    if (text == null) {
      return absent();
    }
    try {
      return ofMillis(Double.parseDouble(text.strip()), text);
    } catch (NumberFormatException e) {
      return new Unusable(text);
    }
  }

  private static ColdFigure ofMillis(double millis, String text) {
    if (Double.isNaN(millis)) {
      return new Unusable(text);
    }
    if (millis < 0 || millis > MAX_MILLIS) {
      return new OutOfRange(millis < 0 ? 0 : MAX_MILLIS, text);
    }
    return new Stated((long) Math.ceil(millis));
  }
}
