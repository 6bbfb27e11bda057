package org.shallothold.gateway.forward.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.StateDifference;
import org.shallothold.wire.proto.StatedRate;
import org.shallothold.wire.proto.WorkChanges;

/**
 * The state that a peer has told on one connection. Completes updates that contain only
 * differences. Does no I/O; not thread-safe.
 */
final class ReceivedState {

  private final Map<String, Work> workByServer = new LinkedHashMap<>();
  private final List<String> addresses = new ArrayList<>();
  // The last complete update, without work, prompt parts and addresses; its number is 0 until there
  // is one.
  private FleetNews former = FleetNews.getDefaultInstance();

  private record Work(OpenWork work, long receivedMillis) {

    /** Returns the work as the peer would tell it now. */
    private OpenWork at(long nowMillis) {
      if (!work.hasStatedRate()) {
        return work;
      }
      StatedRate rate = work.getStatedRate();
      return work.toBuilder()
          .setStatedRate(
              rate.toBuilder().setAgeMillis(rate.getAgeMillis() + nowMillis - receivedMillis))
          .build();
    }
  }

  /**
   * Returns an update with the peer's whole state, or empty if it contains only differences from a
   * state that this gateway doesn't have.
   */
  Optional<FleetNews> complete(FleetNews update, long nowMillis) {
    if (!update.hasDifference()) {
      workByServer.clear();
      addresses.clear();
      addresses.addAll(update.getKnownAddressesList());
      record(update.getOpenWorkList(), nowMillis);
      former = withoutLists(update);
      return Optional.of(update);
    }
    if (former.getNumber() == 0 || update.getNumber() != former.getNumber() + 1) {
      return Optional.empty();
    }
    StateDifference difference = update.getDifference();
    difference.getRemovedServerIdsList().forEach(workByServer::remove);
    record(update.getOpenWorkList(), nowMillis);
    addresses.addAll(update.getKnownAddressesList());
    FleetNews.Builder complete =
        update.toBuilder()
            .clearDifference()
            .setProcessId(former.getProcessId())
            .setAddress(former.getAddress())
            .putAllTightLoad(merged(former.getTightLoadMap(), update.getTightLoadMap()))
            .putAllHeavyLoad(merged(former.getHeavyLoadMap(), update.getHeavyLoadMap()))
            .putAllEngineSpeeds(merged(former.getEngineSpeedsMap(), update.getEngineSpeedsMap()))
            .addAllPrefixReads(CompactForm.expandReads(difference.getReadsByServerList()));
    if (update.getConnectedToCount() == 0) {
      complete.addAllConnectedTo(former.getConnectedToList());
    }
    former = withoutLists(complete.build());
    complete.clearOpenWork().clearKnownAddresses();
    workByServer.values().forEach(work -> complete.addOpenWork(work.at(nowMillis)));
    AddressBook.decode(addresses, difference.getAddressAgesList())
        .forEach(
            (address, ageMillis) ->
                complete.addKnownAddresses(address).addKnownAddressAgeMillis(ageMillis));
    return Optional.of(complete.build());
  }

  private static FleetNews withoutLists(FleetNews update) {
    return update.toBuilder()
        .clearOpenWork()
        .clearPrefixReads()
        .clearKnownAddresses()
        .clearKnownAddressAgeMillis()
        .build();
  }

  private static <V> Map<String, V> merged(Map<String, V> former, Map<String, V> changed) {
    Map<String, V> merged = new HashMap<>(former);
    merged.putAll(changed);
    return merged;
  }

  /** Returns hashes of the addresses to which the peer sends changes, as far as it told them. */
  List<Integer> connectedTo() {
    return former.getConnectedToList();
  }

  /** Records work that the peer told between two updates. */
  void changesReceived(WorkChanges changes, long nowMillis) {
    if (former.getNumber() > 0) {
      record(changes.getOpenWorkList(), nowMillis);
    }
  }

  private void record(List<OpenWork> openWork, long nowMillis) {
    openWork.forEach(work -> workByServer.put(work.getServerId(), new Work(work, nowMillis)));
  }
}
