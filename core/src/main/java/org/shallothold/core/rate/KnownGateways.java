package org.shallothold.core.rate;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The gateways that were live lately. A gateway that is cut off from the others for long can't tell
 * whether they are gone; it must not use the rates that cold servers tolerate alone. Not
 * thread-safe.
 */
public final class KnownGateways {

  /** Time for which a gateway is remembered that vanished without announcing it. */
  static final long MEMORY_MILLIS = 600_000;

  private final Map<String, Long> lastLiveMillis = new HashMap<>();
  private Set<String> live = Set.of();

  private KnownGateways() {}

  /** Returns an instance that knows no gateways. */
  public static KnownGateways create() {
    return new KnownGateways();
  }

  /**
   * Records that the live gateways changed.
   *
   * @param liveNow addresses of the live gateways
   * @param leaving addresses of gateways that announced that they leave; these are forgotten
   */
  public void changed(Collection<String> liveNow, Collection<String> leaving, long nowMillis) {
    live.forEach(address -> lastLiveMillis.put(address, nowMillis));
    live = Set.copyOf(liveNow);
    lastLiveMillis.keySet().removeAll(leaving);
    lastLiveMillis.keySet().removeAll(live);
  }

  /** Returns the fraction of the gateways known lately that is live, in (0, 1]. */
  public double liveFraction(long nowMillis) {
    lastLiveMillis.values().removeIf(millis -> nowMillis - millis > MEMORY_MILLIS);
    return live.isEmpty() ? 1 : (double) live.size() / (live.size() + lastLiveMillis.size());
  }
}
