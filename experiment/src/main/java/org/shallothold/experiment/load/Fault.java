package org.shallothold.experiment.load;

import java.util.List;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan.ServerPlan;
import org.shallothold.experiment.fleet.Relay;

/** A fault that strikes after a third of the measured time. */
public enum Fault {
  /** None. */
  NONE,
  /** One engine runs at a quarter of its speed until the end. */
  STRAGGLER,
  /** One engine is killed. */
  CRASH,
  /** All engines report their load 5 s late, from the start. */
  LATE_REPORTS,
  /** For a third of the time, gateway-1 can't reach the servers of the first failure domain. */
  PARTITION,
  /** Callers repeat refused requests up to three times, as told by {@code Retry-After}. */
  RETRYING_CALLERS;

  private static final String VICTIM = "engine-1";
  private static final int QUARTER_SPEED = 4;
  private static final int LATE_MILLIS = 5_000;

  /** Applies what holds from the start. */
  void prepare(Fleet fleet) {
    if (this == LATE_REPORTS) {
      engines(fleet).forEach(id -> fleet.setFault(id, "load_lag_ms", LATE_MILLIS));
    }
  }

  /** Strikes; returns the tokens that a killed engine had generated, which nobody can ask later. */
  long strike(Fleet fleet) {
    switch (this) {
      case STRAGGLER -> fleet.setFault(VICTIM, "slow_factor", QUARTER_SPEED);
      case CRASH -> {
        long generated = fleet.counters(VICTIM).path("tokens_generated").asLong();
        fleet.process(VICTIM).kill();
        return generated;
      }
      case PARTITION -> setLinks(fleet, Relay.Mode.HOLD);
      default -> {}
    }
    return 0;
  }

  /** Ends what doesn't last to the end. */
  void heal(Fleet fleet) {
    if (this == PARTITION) {
      setLinks(fleet, Relay.Mode.PASS);
    }
  }

  private static void setLinks(Fleet fleet, Relay.Mode mode) {
    String domain = fleet.plan().servers().getFirst().failureDomain();
    fleet.plan().servers().stream()
        .filter(server -> server.failureDomain().equals(domain))
        .forEach(server -> fleet.link("gateway-1", server.id()).set(mode));
  }

  private static List<String> engines(Fleet fleet) {
    return fleet.plan().servers().stream().filter(ServerPlan::engine).map(ServerPlan::id).toList();
  }
}
