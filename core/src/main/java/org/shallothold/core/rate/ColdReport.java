package org.shallothold.core.rate;

import java.util.List;
import org.shallothold.core.publish.PublishedPosition;

/**
 * What a gateway tells others about a cold server. Immutable.
 *
 * @param instanceStartMillis start time of the server's instance, by the server's clock
 * @param requestsPerSecond requests that the server tolerates while it is cold, from all gateways
 *     together; 0 if the sender doesn't know
 * @param times for how long it stays cold, by each source; not empty
 */
public record ColdReport(long instanceStartMillis, double requestsPerSecond, List<Time> times) {

  /** Creates a report; the list is copied. */
  public ColdReport {
    times = List.copyOf(times);
  }

  /**
   * How long the server stays cold by one source.
   *
   * @param source source by which the first gateway learned it
   * @param remainingMillis time for which the server stays cold, in milliseconds
   * @param distance number of gateways that passed it on; 0 if the sender learned it by itself
   * @param position position of the entry, or up to which the end of the evacuation was known;
   *     {@link PublishedPosition#NONE} for other sources
   */
  public record Time(
      ColdSource source, long remainingMillis, int distance, PublishedPosition position) {}
}
