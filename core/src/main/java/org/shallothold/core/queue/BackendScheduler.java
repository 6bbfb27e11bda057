package org.shallothold.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.queue.DecisionRecord.Kind;
import org.shallothold.core.queue.DecisionRecord.Place;
import org.shallothold.core.verdict.ReasonCode;

/**
 * The waiting queue and the slots of one backend server, as a state machine: time comes in with
 * each call, and what is to be done comes back as a list. Rules and reasons are in
 * docs/decisions/0001-queue-and-floor.md. Created by the sidecar, one per process; owned by one
 * thread.
 */
public final class BackendScheduler {

  private static final long RETRY_UNKNOWN_MILLIS = 1_000;
  private static final long RETRY_LEAST_MILLIS = 100;
  private static final long RETRY_MOST_MILLIS = 60_000;

  private final SchedulerOptions options;
  private final @Nullable Consumer<DecisionRecord> decisions;

  private final WaitingQueue waiting = new WaitingQueue();
  private final Map<Long, Entry> running = new LinkedHashMap<>();
  private final RecentService service = new RecentService();
  private final ServiceTimes times = new ServiceTimes();
  private final FloorClock floor;
  private int maxRunning;
  private int maxWaiting;
  private long sequence;

  private BackendScheduler(SchedulerOptions options, @Nullable Consumer<DecisionRecord> decisions) {
    this.options = options;
    this.decisions = decisions;
    this.floor = new FloorClock(options.floorIntervalMillis());
  }

  /** Returns a scheduler without slots and places; {@link #limits} gives it some. */
  public static BackendScheduler create(SchedulerOptions options) {
    return new BackendScheduler(options, null);
  }

  /** Returns a scheduler that reports each decision to a listener. */
  public static BackendScheduler create(
      SchedulerOptions options, Consumer<DecisionRecord> decisions) {
    return new BackendScheduler(options, decisions);
  }

  /**
   * Sets the numbers of slots and of queue places. Fewer than in use ends nothing that runs or
   * waits.
   */
  public List<SchedulerAction> limits(int newMaxRunning, int newMaxWaiting, long nowMillis) {
    maxRunning = newMaxRunning;
    maxWaiting = newMaxWaiting;
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Takes a new request. Its id must not be in use. */
  public List<SchedulerAction> submit(Work work, long nowMillis) {
    // First what became due since the last call, as the end of a protected run: no arrival may be
    // refused for a place that a lower tier no longer has a right to.
    List<SchedulerAction> actions = schedule(new ArrayList<>(), nowMillis);
    Entry entry = new Entry(work, sequence++);
    boolean firstOfClass = !waiting.hasClass(work.serviceClass());
    if (firstOfClass) {
      floor.firstArrived(work.serviceClass(), nowMillis);
    }
    if (admit(entry, firstOfClass, actions, nowMillis)) {
      waiting.add(entry);
    } else {
      refuse(entry, ReasonCode.QUEUE_FULL, Kind.REFUSED, null, actions, nowMillis);
    }
    return schedule(actions, nowMillis);
  }

  /** Notes how many tokens the answer of a running request has; the id may be unknown. */
  public void progress(long id, int tokens) {
    Entry entry = running.get(id);
    if (entry != null) {
      entry.progress = tokens;
    }
  }

  /** Notes that a running request ended by itself; the id may be unknown. */
  public List<SchedulerAction> finish(long id, long nowMillis) {
    Entry entry = running.remove(id);
    if (entry != null) {
      release(entry, nowMillis);
      times.learn(entry.work.serviceClass(), (double) entry.servedMillis);
    }
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Forgets a request that waits or runs; the id may be unknown. */
  public List<SchedulerAction> cancel(long id, long nowMillis) {
    waiting.remove(id).ifPresent(entry -> floor.missed(entry.work.serviceClass(), nowMillis));
    Entry entry = running.remove(id);
    if (entry != null) {
      release(entry, nowMillis);
    }
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Refuses what can't meet its deadline any more and starts what is due; to be called often. */
  public List<SchedulerAction> tick(long nowMillis) {
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Refuses everything that waits. */
  public List<SchedulerAction> refuseWaiting(ReasonCode reason, long nowMillis) {
    List<SchedulerAction> actions = new ArrayList<>();
    for (Entry entry : List.copyOf(waiting.entries())) {
      waiting.remove(entry.work.id());
      refuse(entry, reason, Kind.REFUSED, null, actions, nowMillis);
    }
    return actions;
  }

  /** Returns how many requests run. */
  public int running() {
    return running.size();
  }

  /** Returns how many requests may run. */
  public int maxRunning() {
    return maxRunning;
  }

  /** Returns how many requests wait, indexed by tier. */
  public int[] waitingByTier() {
    int[] counts = new int[ServiceClass.TIER_COUNT];
    waiting.entries().forEach(entry -> counts[entry.work.tier()]++);
    return counts;
  }

  /** Returns the lowest tier (highest number) that waits; -1 if nothing waits. */
  public int lowestWaitingTier() {
    return waiting.entries().stream().mapToInt(entry -> entry.work.tier()).max().orElse(-1);
  }

  private boolean byTier() {
    return options.policy() == SchedulingPolicy.TIERS;
  }

  /** Returns whether there is a place, perhaps after displacing another request. */
  private boolean admit(
      Entry entry, boolean firstOfClass, List<SchedulerAction> actions, long nowMillis) {
    if (!byTier()) {
      return waiting.size() < maxWaiting || running.size() < maxRunning;
    }
    if (firstOfClass || waiting.ordinary(maxRunning) < maxWaiting) {
      return true;
    }
    Optional<Entry> victim = waiting.displaceable(entry.work.tier(), maxRunning);
    victim.ifPresent(
        displaced -> {
          waiting.remove(displaced.work.id());
          refuse(displaced, ReasonCode.DISPLACED, Kind.DISPLACED, entry.work, actions, nowMillis);
        });
    return victim.isPresent();
  }

  private List<SchedulerAction> schedule(List<SchedulerAction> actions, long nowMillis) {
    expire(actions, nowMillis);
    while (running.size() < maxRunning && !waiting.isEmpty()) {
      startNext(actions, nowMillis);
    }
    if (byTier()) {
      preempt(actions, nowMillis);
      refuseHopeless(actions, nowMillis);
    }
    return actions;
  }

  private void startNext(List<SchedulerAction> actions, long nowMillis) {
    Optional<Entry> due = byTier() ? floorDue(nowMillis) : Optional.empty();
    if (due.isPresent()) {
      start(due.get(), Kind.STARTED_BY_FLOOR, actions, nowMillis);
    } else {
      start(first(nowMillis), Kind.STARTED, actions, nowMillis);
    }
  }

  private Entry first(long nowMillis) {
    return byTier()
        ? waiting.first(service, nowMillis).orElseThrow()
        : waiting.oldest().orElseThrow();
  }

  /** Returns the oldest request of the class that has been due for longest. */
  private Optional<Entry> floorDue(long nowMillis) {
    return waiting.oldestByClass().values().stream()
        .filter(entry -> floor.dueMillis(entry.work.serviceClass()) <= nowMillis)
        .min(
            Comparator.comparingLong((Entry entry) -> floor.dueMillis(entry.work.serviceClass()))
                .thenComparingInt(entry -> entry.work.tier())
                .thenComparingLong(entry -> entry.sequence));
  }

  /**
   * Gives slots of lower-tier work to waiting work of higher tiers. The slot goes to the request
   * that the preemption was made for and not by the floor, which takes free slots only: otherwise a
   * preemption could favour a tier below that of the preempted request.
   */
  private void preempt(List<SchedulerAction> actions, long nowMillis) {
    while (!waiting.isEmpty() && running.size() >= maxRunning) {
      Entry next = first(nowMillis);
      Optional<Entry> victim =
          running.values().stream()
              .filter(entry -> entry.work.tier() > next.work.tier())
              .filter(entry -> entry.canBePreempted(options, nowMillis))
              .max(
                  Comparator.comparingInt((Entry entry) -> entry.work.tier())
                      .thenComparingInt(entry -> -entry.progress)
                      .thenComparingLong(entry -> entry.sequence));
      if (victim.isEmpty()) {
        return;
      }
      stop(victim.get(), next.work, actions, nowMillis);
      start(next, Kind.STARTED_BY_PREEMPTION, actions, nowMillis);
    }
  }

  private void stop(Entry victim, Work beneficiary, List<SchedulerAction> actions, long nowMillis) {
    running.remove(victim.work.id());
    record(nowMillis, Kind.PREEMPTED, victim, null, beneficiary);
    release(victim, nowMillis);
    victim.preemptions++;
    floor.preempted(victim.work.serviceClass());
    waiting.add(victim);
    actions.add(new SchedulerAction.Preempt(victim.work));
  }

  private void start(Entry entry, Kind kind, List<SchedulerAction> actions, long nowMillis) {
    waiting.remove(entry.work.id());
    record(nowMillis, kind, entry, null, null);
    entry.startedMillis = nowMillis;
    entry.startedByFloor = kind == Kind.STARTED_BY_FLOOR;
    entry.charged = Math.max(1, times.mean(entry.work.serviceClass()));
    service.add(entry.work.customer(), entry.charged, nowMillis);
    floor.started(entry.work.serviceClass(), nowMillis);
    running.put(entry.work.id(), entry);
    actions.add(new SchedulerAction.Start(entry.work));
  }

  /** Replaces the charge made at the start by the slot time that was really used. */
  private void release(Entry entry, long nowMillis) {
    long used = Math.max(0, nowMillis - entry.startedMillis);
    entry.servedMillis += used;
    service.add(entry.work.customer(), used - entry.charged, nowMillis);
  }

  private void expire(List<SchedulerAction> actions, long nowMillis) {
    waiting.entries().stream()
        .filter(entry -> entry.work.deadlineMillis() <= nowMillis)
        .toList()
        .forEach(
            entry -> {
              waiting.remove(entry.work.id());
              refuse(entry, ReasonCode.DEADLINE, Kind.REFUSED, null, actions, nowMillis);
            });
  }

  /** Refuses at once what the estimate says can't meet its deadline. */
  private void refuseHopeless(List<SchedulerAction> actions, long nowMillis) {
    WaitEstimate estimate = estimate(nowMillis);
    Map<String, Entry> reserved = waiting.oldestByClass();
    int ahead = 0;
    double aheadMillis = 0;
    for (Entry entry : waiting.inOrder(service, nowMillis)) {
      double wait = estimate.millis(entry.work.tier(), ahead, aheadMillis);
      String serviceClass = entry.work.serviceClass();
      double needed = wait + times.mean(serviceClass);
      if (entry.equals(reserved.get(serviceClass))) {
        // The floor starts it whatever waits above, so an estimate that is too long can't keep a
        // class from ever starting.
        double floorWait = Math.max(0, floor.dueMillis(serviceClass) - nowMillis);
        needed = Math.min(wait, floorWait + estimate.nextSlotMillis());
      }
      if (wait > 0 && nowMillis + needed > entry.work.deadlineMillis()) {
        waiting.remove(entry.work.id());
        refuse(entry, ReasonCode.DEADLINE, Kind.REFUSED, null, actions, nowMillis);
      } else {
        ahead++;
        aheadMillis += times.mean(serviceClass);
      }
    }
  }

  private WaitEstimate estimate(long nowMillis) {
    return new WaitEstimate(times, running.values(), maxRunning, nowMillis);
  }

  private void refuse(
      Entry entry,
      ReasonCode reason,
      Kind kind,
      @Nullable Work beneficiary,
      List<SchedulerAction> actions,
      long nowMillis) {
    record(nowMillis, kind, entry, reason, beneficiary);
    floor.missed(entry.work.serviceClass(), nowMillis);
    actions.add(
        new SchedulerAction.Refuse(
            entry.work, reason, entry.preemptions > 0, retryAfter(entry.work.tier(), nowMillis)));
  }

  private long retryAfter(int tier, long nowMillis) {
    if (times.overall() == 0) {
      return RETRY_UNKNOWN_MILLIS;
    }
    List<Entry> ahead =
        waiting.entries().stream().filter(entry -> entry.work.tier() <= tier).toList();
    double aheadMillis =
        ahead.stream().mapToDouble(entry -> times.mean(entry.work.serviceClass())).sum();
    int floorClasses =
        (int)
            waiting.oldestByClass().values().stream()
                .filter(entry -> entry.work.tier() > tier)
                .count();
    WaitEstimate estimate = estimate(nowMillis);
    double wait =
        estimate.withFloor(
            estimate.millis(tier, ahead.size(), aheadMillis),
            floorClasses,
            options.floorIntervalMillis());
    return Math.clamp((long) Math.ceil(wait), RETRY_LEAST_MILLIS, RETRY_MOST_MILLIS);
  }

  private void record(
      long nowMillis,
      Kind kind,
      Entry about,
      @Nullable ReasonCode reason,
      @Nullable Work beneficiary) {
    Consumer<DecisionRecord> listener = decisions;
    if (listener == null) {
      return;
    }
    Set<Entry> seated = waiting.seated(maxRunning);
    Stream<Place> queued =
        others(waiting.entries().stream(), about)
            .map(entry -> new Place(entry.work, !seated.contains(entry)));
    // Judged while the request could still start: a slot that can be preempted only at or after its
    // deadline is of no use to it.
    long judgedMillis =
        kind == Kind.REFUSED ? Math.min(nowMillis, about.work.deadlineMillis() - 1) : nowMillis;
    Stream<Place> slots =
        others(running.values().stream(), about)
            .map(entry -> new Place(entry.work, entry.canBePreempted(options, judgedMillis)));
    listener.accept(
        new DecisionRecord(
            nowMillis, kind, about.work, reason, beneficiary, queued.toList(), slots.toList()));
  }

  private static Stream<Entry> others(Stream<Entry> entries, Entry about) {
    return entries.filter(entry -> !entry.equals(about));
  }
}
