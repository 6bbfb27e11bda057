package org.shallothold.core.rate;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The latest known rate limit of each backend server that has stated one. Observations come from
 * responses and from peers, in any order; the latest one wins. A limit that has ended is kept, so
 * that an older observation from a peer can't bring it back. Entries outlive the listing of their
 * server, which may lapse while the platform is unreachable. Not thread-safe.
 */
public final class StatedRates {

  // Far above the number of servers that state a limit at the same time.
  private static final int MAX_SERVERS = 10_000;

  private final Map<String, RateObservation> observationsByServer =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RateObservation> eldest) {
          return size() > MAX_SERVERS;
        }
      };

  private StatedRates() {}

  /** Returns an instance without observations. */
  public static StatedRates create() {
    return new StatedRates();
  }

  /**
   * Records an observation unless a later one of the same instance, or one of a later instance, is
   * known. The absence of a limit is recorded only after a limit.
   *
   * @return whether the limit in force changed
   */
  public boolean record(String serverId, RateObservation observation) {
    RateObservation known = observationsByServer.get(serverId);
    if (known == null) {
      if (observation.isLimited()) {
        observationsByServer.put(serverId, observation);
      }
      return observation.isLimited();
    }
    boolean sameInstance = observation.instanceStartMillis() == known.instanceStartMillis();
    boolean outdated =
        observation.instanceStartMillis() < known.instanceStartMillis()
            || (sameInstance && observation.observedMillis() < known.observedMillis());
    // The time of a limit's end is kept, so that peers need not be told of it for ever.
    if (outdated || (sameInstance && !known.isLimited() && !observation.isLimited())) {
      return false;
    }
    observationsByServer.put(serverId, observation);
    return !sameInstance || observation.requestsPerSecond() != known.requestsPerSecond();
  }

  /** Returns the latest observation of an instance of a server; null if it never stated a limit. */
  public @Nullable RateObservation latest(String serverId, long instanceStartMillis) {
    RateObservation known = observationsByServer.get(serverId);
    return known != null && known.instanceStartMillis() == instanceStartMillis ? known : null;
  }

  /**
   * Returns the limit of an instance of a server for all gateways together, in requests per second;
   * {@link RateObservation#NO_LIMIT} if there is none.
   */
  public double requestsPerSecond(String serverId, long instanceStartMillis) {
    RateObservation known = latest(serverId, instanceStartMillis);
    return known == null ? RateObservation.NO_LIMIT : known.requestsPerSecond();
  }
}
