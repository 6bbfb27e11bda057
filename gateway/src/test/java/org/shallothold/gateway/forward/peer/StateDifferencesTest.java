package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.wire.proto.EngineSpeed;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.StatedRate;
import org.shallothold.wire.proto.WorkChanges;

/** Tests that a peer which gets differences has the same state as one that gets whole states. */
class StateDifferencesTest {

  private static final int UPDATES = 400;
  private static final int AGE_STEP_MILLIS = 20;

  private static OpenWork work(String serverId, int requests) {
    return OpenWork.newBuilder().setServerId(serverId).setRequests(requests).build();
  }

  private static FleetNews.Builder state() {
    return FleetNews.newBuilder().setProcessId("first").setAddress("10.0.0.1:9");
  }

  private static FleetNews difference(SentState.Update update) {
    FleetNews difference = update.difference();
    assertNotNull(difference);
    return difference;
  }

  private static Map<String, OpenWork> workByServer(FleetNews update) {
    Map<String, OpenWork> work = new HashMap<>();
    update.getOpenWorkList().forEach(each -> work.put(each.getServerId(), each));
    return work;
  }

  /** A sender whose state changes at random. */
  private static final class RandomSender {
    private final Random random;
    private final Map<String, OpenWork> work = new TreeMap<>();
    private final Map<String, Long> rateObservedMillis = new HashMap<>();
    private final Map<String, Long> addressSeenMillis = new TreeMap<>();
    private long nowMillis = 1_000;

    private RandomSender(long seed) {
      random = new Random(seed);
    }

    private void change() {
      nowMillis += 20 + random.nextInt(600);
      for (int i = 0; i < 5; i++) {
        changeWork("engine-" + random.nextInt(40));
        String address = "10.0.0." + random.nextInt(60) + ":9";
        if (random.nextInt(6) == 0) {
          addressSeenMillis.remove(address);
        } else {
          addressSeenMillis.put(address, nowMillis - random.nextInt(1_000));
        }
      }
    }

    private void changeWork(String id) {
      if (random.nextInt(4) == 0) {
        work.remove(id);
        rateObservedMillis.remove(id);
        return;
      }
      work.put(id, work(id, random.nextInt(3)));
      if (random.nextInt(4) == 0) {
        rateObservedMillis.put(id, nowMillis - random.nextInt(500));
      }
    }

    private OpenWork described(String id) {
      OpenWork.Builder described = work.getOrDefault(id, work(id, 0)).toBuilder();
      Long observedMillis = rateObservedMillis.get(id);
      if (observedMillis != null) {
        described.setStatedRate(
            StatedRate.newBuilder()
                .setRequestsPerSecond(5)
                .setAgeMillis(nowMillis - observedMillis));
      }
      return described.build();
    }

    private FleetNews describe() {
      FleetNews.Builder update =
          state()
              .setServersChangedAt(random.nextInt(100))
              .putTightLoad("model", random.nextInt(3))
              .putHeavyLoad("model", 1)
              .putEngineSpeeds(
                  "model", EngineSpeed.newBuilder().setStepMillis(random.nextInt(3)).build())
              .addPrefixReads(
                  PrefixRead.newBuilder().setServerId("engine-1").setChainHash(random.nextLong()))
              .addConnectedTo(random.nextInt(3));
      work.keySet().forEach(id -> update.addOpenWork(described(id)));
      return update.build();
    }

    private Map<String, Long> addressAges() {
      Map<String, Long> ages = new TreeMap<>();
      addressSeenMillis.forEach((address, millis) -> ages.put(address, nowMillis - millis));
      return ages;
    }
  }

  @Nested
  class RandomChanges {

    /**
     * Guards against peers whose view of a gateway's work, loads or addresses drifts away from its
     * state: after changes of any kind, between updates too, and after updates that they missed.
     */
    @Test
    void completedDifferencesEqualWholeStates() {
      for (long seed = 1; seed <= 20; seed++) {
        compare(new RandomSender(seed));
      }
    }

    private void compare(RandomSender sender) {
      SentState sent = new SentState();
      ReceivedState received = new ReceivedState();
      boolean upToDate = false;
      for (int i = 0; i < UPDATES; i++) {
        sender.change();
        if (sender.random.nextBoolean()) {
          WorkChanges changes =
              WorkChanges.newBuilder()
                  .addOpenWork(sender.described("engine-" + sender.random.nextInt(40)))
                  .build();
          sent.changesSent(changes, sender.nowMillis);
          received.changesReceived(changes, sender.nowMillis);
        }
        FleetNews state = sender.describe();
        SentState.Update update = sent.next(state, sender.addressAges(), sender.nowMillis);
        boolean missed = sender.random.nextInt(10) == 0;
        if (!missed) {
          FleetNews difference = update.difference();
          FleetNews message = difference != null && upToDate ? difference : update.whole();
          FleetNews complete = received.complete(message, sender.nowMillis).orElseThrow();
          assertSameState(update.whole(), complete);
        }
        upToDate = !missed;
      }
    }

    private void assertSameState(FleetNews whole, FleetNews complete) {
      Map<String, OpenWork> expected = workByServer(whole);
      assertEquals(expected.keySet(), workByServer(complete).keySet());
      workByServer(complete)
          .forEach((id, work) -> assertSameWork(expected.getOrDefault(id, work), work));
      assertEquals(whole.getTightLoadMap(), complete.getTightLoadMap());
      assertEquals(whole.getHeavyLoadMap(), complete.getHeavyLoadMap());
      assertEquals(whole.getEngineSpeedsMap(), complete.getEngineSpeedsMap());
      assertEquals(whole.getPrefixReadsList(), complete.getPrefixReadsList());
      assertEquals(whole.getConnectedToList(), complete.getConnectedToList());
      assertEquals(whole.getServersChangedAt(), complete.getServersChangedAt());
      assertEquals(whole.getProcessId(), complete.getProcessId());
      assertEquals(whole.getAddress(), complete.getAddress());
      assertSameAddresses(whole, complete);
    }

    private void assertSameWork(OpenWork expected, OpenWork actual) {
      assertEquals(expected.getRequests(), actual.getRequests());
      assertEquals(expected.hasStatedRate(), actual.hasStatedRate());
      assertEquals(
          (double) expected.getStatedRate().getAgeMillis(),
          (double) actual.getStatedRate().getAgeMillis(),
          AGE_STEP_MILLIS);
    }

    /** An update that says nothing of addresses is right too: their ages grow by themselves. */
    private void assertSameAddresses(FleetNews whole, FleetNews complete) {
      Map<String, Integer> expected = new HashMap<>();
      for (int i = 0; i < whole.getKnownAddressesCount(); i++) {
        expected.put(whole.getKnownAddresses(i), whole.getKnownAddressAgeMillis(i));
      }
      Set<String> known = new HashSet<>(complete.getKnownAddressesList());
      assertTrue(expected.keySet().containsAll(known));
      for (int i = 0; i < complete.getKnownAddressesCount(); i++) {
        int roundedUp =
            complete.getKnownAddressAgeMillis(i)
                - expected.getOrDefault(complete.getKnownAddresses(i), 0);
        assertTrue(roundedUp >= 0 && roundedUp < AGE_STEP_MILLIS, "rounded up by " + roundedUp);
      }
    }
  }

  @Nested
  class Sizes {

    /** Guards against updates that grow with the number of servers although nothing changes. */
    @Test
    void unchangedWorkTakesNoBytes() {
      SentState sent = new SentState();
      FleetNews.Builder state = state();
      for (int i = 0; i < 1_000; i++) {
        state.addOpenWork(work("engine-" + i, 2));
      }
      sent.next(state.build(), Map.of(), 1_000);
      FleetNews difference = difference(sent.next(state.build(), Map.of(), 1_600));
      assertTrue(difference.getSerializedSize() < 20, difference.toString());
    }

    /** Guards against addresses that are repeated as text in each update. */
    @Test
    void knownAddressTakesOneOrTwoBytes() {
      SentState sent = new SentState();
      Map<String, Long> ages = new TreeMap<>();
      for (int i = 0; i < 300; i++) {
        ages.put("10.1.2." + i + ":9464", 300L + i);
      }
      sent.next(state().build(), ages, 1_000);
      FleetNews difference = difference(sent.next(state().build(), ages, 1_600));
      assertTrue(difference.getSerializedSize() < 2 * ages.size() + 20);
    }
  }

  @Nested
  class MissingState {

    /** Guards against differences that are applied to nothing, or to an older state. */
    @Test
    void differenceWithoutTheUpdateBeforeIsUnusable() {
      SentState sent = new SentState();
      FleetNews first = sent.next(state().build(), Map.of(), 1_000).whole();
      FleetNews second = difference(sent.next(state().build(), Map.of(), 1_600));
      FleetNews third = difference(sent.next(state().build(), Map.of(), 2_200));
      assertEquals(Optional.empty(), new ReceivedState().complete(second, 1_600));
      ReceivedState received = new ReceivedState();
      received.complete(first, 1_000);
      assertEquals(Optional.empty(), received.complete(third, 2_200));
    }

    /** Guards against a fault of the differences that lasts as long as a connection. */
    @Test
    void wholeStateIsSentToAllNowAndThen() {
      SentState sent = new SentState();
      long wholeStates = 0;
      for (int i = 0; i < 200; i++) {
        wholeStates += sent.next(state().build(), Map.of(), 600L * i).difference() == null ? 1 : 0;
      }
      assertEquals(2, wholeStates);
    }

    /** Guards against taking an older build's whole state for differences. */
    @Test
    void updateWithoutNumberReplacesTheState() {
      ReceivedState received = new ReceivedState();
      FleetNews update = state().addOpenWork(work("engine-1", 3)).build();
      received.complete(state().addOpenWork(work("engine-2", 1)).build(), 1_000);
      assertEquals(Optional.of(update), received.complete(update, 1_600));
    }
  }
}
