package org.shallothold.core.rate;

/**
 * What one response of a backend server states about the rate at which the server takes requests
 * from all gateways together. Immutable.
 */
public sealed interface RateStatement {

  /**
   * The server states a limit.
   *
   * @param requestsPerSecond limit for all gateways together; finite and not negative
   */
  record Limited(double requestsPerSecond) implements RateStatement {}

  /** The server states no limit, which ends one that it stated before. */
  record Unlimited() implements RateStatement {}

  /**
   * The server states a limit that can't be used. An earlier limit stays in force.
   *
   * @param text the limit as it was received
   */
  record Unusable(String text) implements RateStatement {}

  /** Returns the statement of a response without a limit. */
  static RateStatement unlimited() {
    return new Unlimited();
  }

  /**
   * Returns the statement of a response with a limit in decimal notation. It is {@link Unusable} if
   * the text is no number, or if the number is negative or not finite.
   */
  static RateStatement parse(String text) {
    try {
      double requestsPerSecond = Double.parseDouble(text.strip());
      return Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0
          ? new Limited(requestsPerSecond)
          : new Unusable(text);
    } catch (NumberFormatException e) {
      return new Unusable(text);
    }
  }
}
