package org.shallothold.gateway.forward.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.EngineSpeed;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.StateDifference;
import org.shallothold.wire.proto.WorkChanges;

/**
 * The state that a gateway last told its peers. Turns each new state into a message with the whole
 * state, for peers that have just connected or missed something, and one with the differences, for
 * all others. Does no I/O; not thread-safe.
 */
final class SentState {

  // All peers get a whole state this often, so that no fault of the differences lasts.
  private static final int WHOLE_STATE_INTERVAL = 100;
  // Times that travel as ages differ by the time between reading the clock twice.
  private static final long SAME_TIME_MILLIS = 20;
  // Announcements between two periodic updates say nothing of addresses' ages and engines' speeds.
  private static final long SLOW_PART_INTERVAL_MILLIS = 590;

  private final AddressBook addresses = new AddressBook();
  private final Map<String, Work> workByServer = new HashMap<>();
  private Map<String, EngineSpeed> speeds = Map.of();
  private FleetNews former = FleetNews.getDefaultInstance();
  private long slowPartSentMillis = Long.MIN_VALUE / 2;
  private long number;

  private record Work(OpenWork work, long millis) {

    private boolean isSame(OpenWork other, long otherMillis) {
      if (!work.hasStatedRate() || !other.hasStatedRate()) {
        return work.equals(other);
      }
      long observed = millis - work.getStatedRate().getAgeMillis();
      long otherObserved = otherMillis - other.getStatedRate().getAgeMillis();
      return Math.abs(observed - otherObserved) <= SAME_TIME_MILLIS
          && withoutAge(work).equals(withoutAge(other));
    }

    private static OpenWork withoutAge(OpenWork work) {
      return work.toBuilder()
          .setStatedRate(work.getStatedRate().toBuilder().clearAgeMillis())
          .build();
    }
  }

  /**
   * A numbered update in both forms.
   *
   * @param whole the whole state
   * @param difference the differences; null if all peers need the whole state
   */
  record Update(long number, FleetNews whole, @Nullable FleetNews difference) {}

  /**
   * Returns the messages for a new state.
   *
   * @param state the state without addresses
   * @param addressAges time since each known address was last heard of, in milliseconds
   */
  Update next(FleetNews state, Map<String, Long> addressAges, long nowMillis) {
    number++;
    addresses.update(addressAges);
    boolean wholeForAll = number % WHOLE_STATE_INTERVAL == 1 || lacksService(state);
    if (wholeForAll) {
      addresses.compact();
      speeds = state.getEngineSpeedsMap();
    }
    FleetNews difference = wholeForAll ? null : difference(state, nowMillis);
    // All peers have the same speeds then, so that later differences are right for all.
    FleetNews.Builder whole =
        state.toBuilder().setNumber(number).clearEngineSpeeds().putAllEngineSpeeds(speeds);
    addresses.describeAll(whole);
    former = state;
    workByServer.clear();
    recordSent(state.getOpenWorkList(), nowMillis);
    return new Update(number, whole.build(), difference);
  }

  /** Returns whether a service is no longer described, which differences can't express. */
  private boolean lacksService(FleetNews state) {
    return !state.getTightLoadMap().keySet().containsAll(former.getTightLoadMap().keySet())
        || !state.getHeavyLoadMap().keySet().containsAll(former.getHeavyLoadMap().keySet())
        || !state.getEngineSpeedsMap().keySet().containsAll(speeds.keySet());
  }

  private FleetNews difference(FleetNews state, long nowMillis) {
    FleetNews.Builder update =
        state.toBuilder()
            .setNumber(number)
            .clearProcessId()
            .clearAddress()
            .clearOpenWork()
            .clearPrefixReads()
            .clearTightLoad()
            .clearHeavyLoad()
            .clearEngineSpeeds();
    if (isConnectedTo(state.getConnectedToList())) {
      update.clearConnectedTo();
    }
    state.getOpenWorkList().stream()
        .filter(work -> isChanged(work, nowMillis))
        .forEach(update::addOpenWork);
    update.putAllTightLoad(changed(former.getTightLoadMap(), state.getTightLoadMap()));
    update.putAllHeavyLoad(changed(former.getHeavyLoadMap(), state.getHeavyLoadMap()));
    StateDifference.Builder difference =
        StateDifference.newBuilder()
            .addAllRemovedServerIds(removedServers(state))
            .addAllReadsByServer(CompactForm.byServer(state.getPrefixReadsList()));
    boolean isAdded = addresses.describeAdded(update);
    if (isAdded || nowMillis - slowPartSentMillis >= SLOW_PART_INTERVAL_MILLIS) {
      slowPartSentMillis = nowMillis;
      update.putAllEngineSpeeds(changed(speeds, state.getEngineSpeedsMap()));
      speeds = state.getEngineSpeedsMap();
      addresses.describeAges(difference);
    }
    return update.setDifference(difference).build();
  }

  private boolean isChanged(OpenWork work, long nowMillis) {
    Work sent = workByServer.get(work.getServerId());
    return sent == null || !sent.isSame(work, nowMillis);
  }

  private List<String> removedServers(FleetNews state) {
    Map<String, OpenWork> current = new HashMap<>();
    state.getOpenWorkList().forEach(work -> current.put(work.getServerId(), work));
    return workByServer.keySet().stream().filter(id -> !current.containsKey(id)).sorted().toList();
  }

  private static <V> Map<String, V> changed(Map<String, V> former, Map<String, V> current) {
    Map<String, V> changed = new HashMap<>(current);
    changed
        .entrySet()
        .removeIf(entry -> Objects.equals(former.get(entry.getKey()), entry.getValue()));
    return changed;
  }

  /** Returns the number of the last update. */
  long number() {
    return number;
  }

  /** Returns whether the last update told that the gateway sends to the same addresses. */
  boolean isConnectedTo(List<Integer> addressHashes) {
    return former.getConnectedToList().equals(addressHashes);
  }

  /** Records that work was sent to the peers between two updates. */
  void changesSent(WorkChanges changes, long nowMillis) {
    recordSent(changes.getOpenWorkList(), nowMillis);
  }

  private void recordSent(List<OpenWork> openWork, long nowMillis) {
    openWork.forEach(work -> workByServer.put(work.getServerId(), new Work(work, nowMillis)));
  }
}
