package org.shallothold.core.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothold.core.publish.RestoredPlatformSoakTest.Platform.Write;

/**
 * Copies of a platform's items that read it, lose contact, start anew and learn from each other,
 * while the platform is restored again and again. Guards against a copy that goes back to an older
 * version, uses a server that has left, loses one that stays, or differs from the platform for
 * good.
 *
 * <p>More seeds by hand: {@code -Dsoak.seeds=5000}.
 */
class RestoredPlatformSoakTest {

  private static final int SEEDS = Integer.getInteger("soak.seeds", 1_000);
  private static final int STEPS = 400;
  private static final int COPIES = 4;
  private static final int SERVERS = 12;
  private static final long STEP_MILLIS = 100;
  private static final long MISSING_MILLIS = 2_000;
  private static final long OUTDATED_MILLIS = 4_000;
  // Owners publish again within this time after a restore.
  private static final int REPUBLISH_STEPS = 8;
  private static final int SETTLE_STEPS = 60;
  private static final String CONFIGURATION = "configuration";

  static IntStream seeds() {
    return IntStream.range(0, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void copiesNeverGoBackAndAgreeInTheEnd(int seed) {
    new Soak(seed).run();
  }

  /** The platform's items with their history, which a restore takes back. */
  static final class Platform {

    record Write(String key, int value, long revision, boolean removal) {}

    private List<Write> writes = new ArrayList<>();
    private long revision = 1;
    private long era = 1;

    private void add(String key, int value, boolean removal) {
      revision++;
      writes.add(new Write(key, value, revision, removal));
    }

    private void restore(int lostWrites) {
      writes = new ArrayList<>(writes.subList(0, writes.size() - lostWrites));
      revision = writes.isEmpty() ? 1 : writes.getLast().revision();
      era++;
    }

    private Map<String, Write> items() {
      Map<String, Write> items = new TreeMap<>();
      for (Write write : writes) {
        if (write.removal()) {
          items.remove(write.key());
        } else {
          items.put(write.key(), write);
        }
      }
      return items;
    }

    private PublishedPosition position() {
      return PublishedPosition.of(era, revision);
    }

    private PublishedItem item(Write write) {
      return new PublishedItem(
          write.key(),
          ByteBuffer.allocate(Integer.BYTES).putInt(write.value()).array(),
          PublishedPosition.of(era, write.revision()));
    }
  }

  private static int value(PublishedItem item) {
    return ByteBuffer.wrap(item.value()).getInt();
  }

  /** A gateway's copy, and how far it has read the platform itself. */
  private static final class Copy {
    private PublishedState state =
        PublishedState.of(
            new RestoreRules(
                MISSING_MILLIS,
                OUTDATED_MILLIS,
                item -> item.key().equals(CONFIGURATION) ? value(item) : RestoreRules.NO_VERSION));
    private PublishedPosition read = PublishedPosition.NONE;
    private boolean inContact = true;
    // Whether the last call to the platform was answered.
    private boolean heard;
    private int highestVersion;
    private PublishedPosition restoredTo = PublishedPosition.NONE;
    private long restoredMillis;
    private final Set<String> knownGone = new HashSet<>();
  }

  private static final class Soak {
    private final Random random;
    private final int seed;
    private final Platform platform = new Platform();
    // What the owners want to be published: a server's state, or null once it has left.
    private final Map<String, Integer> wanted = new HashMap<>();
    private final Set<String> left = new HashSet<>();
    private final List<Copy> copies = new ArrayList<>();
    private long nowMillis = 10_000;
    private int nextServer;
    private int version;
    private int stepsSinceRestore = 1_000;

    Soak(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
      IntStream.range(0, COPIES).forEach(i -> copies.add(new Copy()));
    }

    void run() {
      publishConfiguration();
      IntStream.range(0, SERVERS).forEach(i -> join());
      for (int step = 0; step < STEPS; step++) {
        nowMillis += STEP_MILLIS;
        stepsSinceRestore++;
        act();
        if (stepsSinceRestore == REPUBLISH_STEPS) {
          republish();
        }
        copies.forEach(this::follow);
        copies.forEach(this::check);
      }
      republish();
      for (int step = 0; step < SETTLE_STEPS; step++) {
        nowMillis += STEP_MILLIS;
        copies.forEach(copy -> copy.inContact = true);
        copies.forEach(this::follow);
        copies.forEach(this::check);
      }
      Map<String, Integer> published =
          platform.items().values().stream().collect(Collectors.toMap(Write::key, Write::value));
      copies.forEach(copy -> assertEquals(published, held(copy), "seed " + seed));
    }

    private void act() {
      boolean settled = stepsSinceRestore > REPUBLISH_STEPS;
      switch (random.nextInt(14)) {
        case 0 -> join();
        case 1, 2 -> leave();
        case 3 -> change();
        case 4 -> publishConfiguration();
        case 5 -> {
          if (settled && random.nextInt(3) == 0) {
            platform.restore(random.nextInt(Math.min(12, platform.writes.size())));
            stepsSinceRestore = 0;
          }
        }
        case 6 -> {
          Copy copy = copies.get(random.nextInt(COPIES));
          copy.inContact = !copy.inContact;
          copy.heard = false;
        }
        case 7 -> {
          if (random.nextInt(3) == 0) {
            copies.set(random.nextInt(COPIES), new Copy());
          }
        }
        case 8, 9 -> learn(copies.get(random.nextInt(COPIES)), copies.get(random.nextInt(COPIES)));
        default -> {}
      }
    }

    private void publishConfiguration() {
      version += 1 + random.nextInt(3);
      platform.add(CONFIGURATION, version, false);
    }

    private void join() {
      String key = "server-" + nextServer++;
      wanted.put(key, 1);
      platform.add(key, 1, false);
    }

    private void change() {
      wanted.keySet().stream()
          .sorted()
          .skip(random.nextInt(wanted.size()))
          .findFirst()
          .ifPresent(
              key -> {
                int value = wanted.merge(key, 1, Integer::sum);
                platform.add(key, value, false);
              });
    }

    private void leave() {
      wanted.keySet().stream()
          .sorted()
          .skip(random.nextInt(wanted.size()))
          .findFirst()
          .filter(key -> wanted.size() > 2)
          .ifPresent(
              key -> {
                wanted.remove(key);
                left.add(key);
                if (platform.items().containsKey(key)) {
                  platform.add(key, 0, true);
                }
              });
    }

    /** Lets all owners publish again what a restore has lost, in any order. */
    private void republish() {
      Map<String, Write> items = platform.items();
      List<Runnable> repairs = new ArrayList<>();
      wanted.forEach(
          (key, value) -> {
            Write current = items.get(key);
            if (current == null || current.value() != value) {
              repairs.add(() -> platform.add(key, value, false));
            }
          });
      left.stream()
          .sorted()
          .filter(items::containsKey)
          .forEach(key -> repairs.add(() -> platform.add(key, 0, true)));
      Write configuration = items.get(CONFIGURATION);
      if (configuration == null || configuration.value() != version) {
        repairs.add(() -> platform.add(CONFIGURATION, version, false));
      }
      java.util.Collections.shuffle(repairs, random);
      repairs.forEach(Runnable::run);
    }

    /** Reads the platform as StoreReader does: everything in a new era, else the changes. */
    private void follow(Copy copy) {
      if (copy.inContact && random.nextInt(4) > 0) {
        if (copy.read.era() != platform.era) {
          List<PublishedItem> listing =
              platform.items().values().stream().map(platform::item).toList();
          copy.state.replaceAll(listing, platform.position(), false, nowMillis);
        } else if (copy.state.complete().era() == copy.read.era()) {
          platform.writes.stream()
              .filter(write -> write.revision() > copy.read.revision())
              .forEach(write -> apply(copy, write));
          copy.state.advance(platform.position());
        }
        copy.read = platform.position();
        copy.heard = true;
      }
      if (copy.heard) {
        copy.state.dropExpired(nowMillis);
      }
    }

    private void apply(Copy copy, Write write) {
      if (write.removal()) {
        copy.state.remove(
            write.key(), PublishedPosition.of(platform.era, write.revision()), false, nowMillis);
      } else {
        copy.state.put(platform.item(write));
      }
    }

    /** Passes on what a peer knows, as the gateways do: changes within an era, else the listing. */
    private void learn(Copy copy, Copy peer) {
      PublishedPosition own = copy.state.complete();
      PublishedPosition theirs = peer.state.complete();
      if (theirs.isAfter(own) && theirs.era() == own.era() && own.isKnown()) {
        copy.state.apply(peer.state.changesAfter(own), theirs);
      } else if (theirs.isAfter(own)) {
        copy.state.replaceAll(peer.state.listing(), theirs, false, nowMillis);
      } else {
        copy.state.takeHigherVersions(peer.state.listing());
      }
    }

    private Map<String, Integer> held(Copy copy) {
      return copy.state.items().stream()
          .collect(Collectors.toMap(PublishedItem::key, RestoredPlatformSoakTest::value));
    }

    private void check(Copy copy) {
      Map<String, Integer> held = held(copy);
      int heldVersion = held.getOrDefault(CONFIGURATION, 0);
      assertTrue(
          heldVersion >= copy.highestVersion,
          () -> "seed " + seed + ": version " + heldVersion + " after " + copy.highestVersion);
      copy.highestVersion = heldVersion;
      // Once a copy knows that a server has left, it doesn't use it again.
      copy.knownGone.forEach(
          key ->
              assertTrue(!held.containsKey(key), () -> "seed " + seed + ": " + key + " is back"));
      boolean current = copy.read.equals(platform.position());
      left.stream()
          .filter(key -> current && !held.containsKey(key) && copy.state.complete().isKnown())
          .forEach(copy.knownGone::add);
      copy.state
          .lastRestore()
          .filter(restore -> !restore.to().equals(copy.restoredTo))
          .ifPresent(
              restore -> {
                copy.restoredTo = restore.to();
                copy.restoredMillis = nowMillis;
              });
      if (current && copy.heard && nowMillis - copy.restoredMillis > OUTDATED_MILLIS) {
        wanted.keySet().stream()
            .filter(platform.items()::containsKey)
            .filter(key -> !copy.state.complete().equals(PublishedPosition.NONE))
            .forEach(
                key ->
                    assertTrue(
                        held.containsKey(key), () -> "seed " + seed + ": " + key + " is missing"));
      }
    }
  }
}
