package org.shallothold.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Evidence for and against prompt parts that end engines. Suspicions and successes come from this
 * gateway's requests and from its peers, in any order and repeatedly; gateways that know the same
 * evidence judge alike. An engine's end counts against each part of the requests that it had hardly
 * begun to answer, unless a request with the part was answered since, or another part explains the
 * end better. Not thread-safe.
 */
public final class CrashEvidence {

  /** Ends of engines that count against a part until it is blocked. */
  static final int CRASHES_TO_BLOCK = 2;

  // One end more is needed against parts that occurred together each time, and while engines end
  // for other reasons too.
  private static final int CRASHES_TO_BLOCK_INDISTINCT = 3;
  // Gateways see the end of an engine at different times. An engine needs longer to start again.
  private static final long SAME_CRASH_MILLIS = 1_000;
  // A part that was answered shortly before an engine's end is probably sound, so that one end more
  // is needed against it.
  private static final long RECENT_SUCCESS_MILLIS = 30_000;
  // Times that are passed on between gateways differ by the delay of the messages.
  private static final long SAME_SUCCESS_MILLIS = 1_000;
  // An engine that ended within this time of one that counts against a part shows that engines end
  // for other reasons too.
  private static final long WAVE_MILLIS = 10_000;
  private static final int MAX_RECENT_CRASHES = 1_000;
  private static final long RETENTION_MILLIS = 10L * 60 * 1_000;
  private static final long BLOCK_RETENTION_MILLIS = 24L * 60 * 60 * 1_000;
  private static final int MAX_CRASHES = 500;
  // More than the shared parts of the requests that one engine runs at a time.
  private static final int MAX_PARTS_PER_CRASH = 512;
  // Far above the number of parts in use within the time for which a success counts.
  private static final int MAX_SUCCESSES = 65_536;

  private static final Comparator<Crash> CRASH_ORDER =
      Comparator.comparingLong((Crash crash) -> crash.millis)
          .thenComparing(crash -> crash.serverId);

  private final List<Crash> crashes = new ArrayList<>();
  // All ends of engines that were reported lately, also those with no suspected part left.
  private final Deque<ReportedCrash> recentCrashes = new ArrayDeque<>();
  // By part, the time of the last success.
  private final Map<Long, Long> successMillis =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_SUCCESSES;
        }
      };
  // By suspected part, in the order of the ends.
  private final Map<Long, List<Crash>> crashesByPart = new HashMap<>();
  // Computed on demand and dropped when evidence changes.
  private final Map<Long, Integer> weights = new HashMap<>();
  private final Map<Long, PartAssessment> assessments = new HashMap<>();

  private CrashEvidence() {}

  /** Returns an instance without evidence. */
  public static CrashEvidence create() {
    return new CrashEvidence();
  }

  private record ReportedCrash(String serverId, long millis) {

    private boolean isSame(String otherServerId, long otherMillis) {
      return serverId.equals(otherServerId) && Math.abs(millis - otherMillis) < SAME_CRASH_MILLIS;
    }
  }

  /** The end of an engine, with the time at which each suspected part was last sent to it. */
  private static final class Crash {
    private final String serverId;
    private long millis;
    private final Map<Long, Long> sentMillisByPart = new HashMap<>();

    private Crash(String serverId, long millis) {
      this.serverId = serverId;
      this.millis = millis;
    }
  }

  /**
   * Records suspicions; those that are known or refuted by a later success are ignored.
   *
   * @return the suspicions that were new
   */
  public List<PartSuspicion> recordSuspicions(
      Collection<PartSuspicion> suspicions, long nowMillis) {
    List<PartSuspicion> added = suspicions.stream().filter(this::add).toList();
    if (!added.isEmpty()) {
      dropOldCrashes(nowMillis);
      forgetAssessments();
    }
    return added;
  }

  private void forgetAssessments() {
    weights.clear();
    assessments.clear();
  }

  private boolean add(PartSuspicion suspicion) {
    recordRecentCrash(suspicion.serverId(), suspicion.crashMillis());
    Long lastSuccess = successMillis.get(suspicion.partId());
    if (lastSuccess != null && lastSuccess >= suspicion.crashMillis()) {
      return false;
    }
    Crash crash = crash(suspicion);
    crash.millis = Math.min(crash.millis, suspicion.crashMillis());
    Long known = crash.sentMillisByPart.get(suspicion.partId());
    if (known == null && crash.sentMillisByPart.size() >= MAX_PARTS_PER_CRASH) {
      return false;
    }
    crash.sentMillisByPart.merge(suspicion.partId(), suspicion.sentMillis(), Math::max);
    if (known == null) {
      List<Crash> ofPart =
          crashesByPart.computeIfAbsent(suspicion.partId(), part -> new ArrayList<>());
      ofPart.add(crash);
      ofPart.sort(CRASH_ORDER);
    }
    return known == null;
  }

  private void recordRecentCrash(String serverId, long millis) {
    if (recentCrashes.stream().noneMatch(crash -> crash.isSame(serverId, millis))) {
      recentCrashes.removeIf(crash -> millis - crash.millis() > 2 * WAVE_MILLIS);
      recentCrashes.addLast(new ReportedCrash(serverId, millis));
      if (recentCrashes.size() > MAX_RECENT_CRASHES) {
        recentCrashes.removeFirst();
      }
    }
  }

  private Crash crash(PartSuspicion suspicion) {
    return crashes.stream()
        .filter(crash -> crash.serverId.equals(suspicion.serverId()))
        .filter(crash -> Math.abs(crash.millis - suspicion.crashMillis()) < SAME_CRASH_MILLIS)
        .findFirst()
        .orElseGet(
            () -> {
              Crash added = new Crash(suspicion.serverId(), suspicion.crashMillis());
              crashes.add(added);
              return added;
            });
  }

  private void dropOldCrashes(long nowMillis) {
    crashes.sort(CRASH_ORDER);
    crashes.stream()
        .filter(crash -> nowMillis - crash.millis > RETENTION_MILLIS)
        .toList()
        .forEach(
            crash ->
                List.copyOf(crash.sentMillisByPart.keySet()).stream()
                    .filter(
                        part ->
                            nowMillis - crash.millis > BLOCK_RETENTION_MILLIS || !isBlocked(part))
                    .forEach(part -> drop(part, crash)));
    while (crashes.size() > MAX_CRASHES) {
      Crash oldest = crashes.getFirst();
      List.copyOf(oldest.sentMillisByPart.keySet()).forEach(part -> drop(part, oldest));
    }
  }

  /** Drops the suspicion of a part because of an engine's end. */
  private void drop(long part, Crash crash) {
    crash.sentMillisByPart.remove(part);
    if (crash.sentMillisByPart.isEmpty()) {
      crashes.remove(crash);
    }
    List<Crash> ofPart = crashesByPart.getOrDefault(part, List.of());
    ofPart.remove(crash);
    if (ofPart.isEmpty()) {
      crashesByPart.remove(part);
    }
  }

  /**
   * Records that a request with the part was answered for some time.
   *
   * @return whether this changes what is known of a suspected part
   */
  public boolean recordSuccess(PartSuccess success) {
    Long known = successMillis.get(success.partId());
    successMillis.merge(success.partId(), success.millis(), Math::max);
    List<Crash> suspected = crashesByPart.get(success.partId());
    if (suspected == null) {
      return false;
    }
    List<Crash> refuted =
        suspected.stream().filter(crash -> crash.millis <= success.millis()).toList();
    refuted.forEach(crash -> drop(success.partId(), crash));
    boolean newer = known == null || success.millis() - known >= SAME_SUCCESS_MILLIS;
    if (newer || !refuted.isEmpty()) {
      forgetAssessments();
    }
    return newer || !refuted.isEmpty();
  }

  /** Returns how requests with a part are handled at a time. */
  public PartStanding standing(long partId, long nowMillis) {
    PartAssessment assessment = assessment(partId);
    return assessment == null ? PartStanding.clear() : assessment.standing(nowMillis);
  }

  /** Returns how a request with certain parts is handled at a time because of one of them. */
  public PartStanding standing(long partId, Collection<Long> partIds, long nowMillis) {
    PartAssessment assessment = assessment(partId);
    return assessment == null ? PartStanding.clear() : assessment.standing(partIds, nowMillis);
  }

  /** Returns what is known of a part, or null if it is not suspected. */
  public @Nullable PartAssessment assessment(long partId) {
    List<Crash> suspected = crashesByPart.get(partId);
    return suspected == null
        ? null
        : assessments.computeIfAbsent(partId, part -> assess(part, suspected));
  }

  /** Returns the time of the last success of a part, if one is known. */
  public OptionalLong lastSuccessMillis(long partId) {
    Long millis = successMillis.get(partId);
    return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
  }

  /**
   * Returns whether a success of a part speaks against a suspicion: it came after the engine's end
   * or shortly before it.
   */
  public static boolean weakens(long successMillis, long crashMillis) {
    return successMillis >= crashMillis - RECENT_SUCCESS_MILLIS;
  }

  /**
   * Returns the suspicions that a gateway needs to judge as this one does.
   *
   * @param newerThanMillis crashes before this time are left out unless their part is blocked
   */
  public List<PartSuspicion> suspicions(long newerThanMillis) {
    return crashes.stream()
        .flatMap(
            crash ->
                crash.sentMillisByPart.entrySet().stream()
                    .filter(entry -> crash.millis >= newerThanMillis || isBlocked(entry.getKey()))
                    .map(
                        entry ->
                            new PartSuspicion(
                                entry.getKey(), crash.serverId, crash.millis, entry.getValue())))
        .toList();
  }

  private boolean isBlocked(long partId) {
    PartAssessment assessment = assessment(partId);
    return assessment != null && assessment.blocked();
  }

  private PartAssessment assess(long part, List<Crash> suspected) {
    int ownWeight = weight(part);
    List<Crash> counted =
        independent(part, suspected.stream().filter(crash -> !isExplained(crash, ownWeight)));
    int level =
        counted.isEmpty() || !succeededBefore(part, counted.getFirst())
            ? counted.size()
            : counted.size() - 1;
    Set<Long> indistinctFrom =
        counted.isEmpty() ? Set.of() : equallySuspected(part, ownWeight, counted.getLast());
    boolean distinct =
        counted.isEmpty()
            || (indistinctFrom.isEmpty() && !isWave(part, suspected, counted.getLast().millis));
    return new PartAssessment(
        part,
        counted.size(),
        level >= (distinct ? CRASHES_TO_BLOCK : CRASHES_TO_BLOCK_INDISTINCT),
        level >= 1,
        counted.isEmpty() ? suspected.getLast().millis : counted.getLast().millis,
        counted.stream().map(crash -> crash.serverId).toList(),
        indistinctFrom);
  }

  /**
   * Returns the crashes that are independent evidence against a part: engines of one rack end
   * together, so a crash counts only if the part was sent there after the one counted before.
   */
  private static List<Crash> independent(long part, Stream<Crash> suspected) {
    List<Crash> counted = new ArrayList<>();
    suspected
        .filter(
            crash ->
                counted.isEmpty()
                    || crash.sentMillisByPart.getOrDefault(part, Long.MIN_VALUE)
                        >= counted.getLast().millis)
        .forEach(counted::add);
    return counted;
  }

  /**
   * Returns the number of crashes beside which a part was found, for comparison with others; one
   * less if it was answered shortly before.
   */
  private int weight(long part) {
    Integer known = weights.get(part);
    if (known == null) {
      List<Crash> suspected = crashesByPart.getOrDefault(part, List.of());
      boolean answered = !suspected.isEmpty() && succeededBefore(part, suspected.getFirst());
      known = answered ? suspected.size() - 1 : suspected.size();
      weights.put(part, known);
    }
    return known;
  }

  private boolean isExplained(Crash crash, int ownWeight) {
    return crash.sentMillisByPart.keySet().stream()
        .mapToInt(this::weight)
        .anyMatch(weight -> weight >= CRASHES_TO_BLOCK && weight > ownWeight);
  }

  private boolean succeededBefore(long part, Crash crash) {
    Long millis = successMillis.get(part);
    return millis != null && weakens(millis, crash.millis);
  }

  /**
   * Returns whether other engines ended lately without a part and for no known reason, so that its
   * crashes may be chance.
   */
  private boolean isWave(long part, List<Crash> withPart, long lastMillis) {
    return recentCrashes.stream()
        .filter(recent -> Math.abs(lastMillis - recent.millis()) <= WAVE_MILLIS)
        .filter(
            recent ->
                withPart.stream().noneMatch(crash -> recent.isSame(crash.serverId, crash.millis)))
        .anyMatch(recent -> !isExplainedByAnother(part, recent));
  }

  private boolean isExplainedByAnother(long part, ReportedCrash recent) {
    return crashes.stream()
        .filter(crash -> recent.isSame(crash.serverId, crash.millis))
        .flatMap(crash -> crash.sentMillisByPart.keySet().stream())
        .anyMatch(other -> other != part && weight(other) >= CRASHES_TO_BLOCK);
  }

  private Set<Long> equallySuspected(long part, int ownWeight, Crash crash) {
    return crash.sentMillisByPart.keySet().stream()
        .filter(other -> other != part && weight(other) >= ownWeight)
        .collect(Collectors.toUnmodifiableSet());
  }
}
