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
import org.shallothold.core.queue.DecisionRecord.Occupant;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Schedules the requests for one backend server: decides which request waits, starts, is preempted
 * or is refused. A state machine without a clock or I/O: each call passes the current time and
 * returns the actions to carry out. The rules and their reasons are in
 * docs/decisions/0001-queue-and-floor.md. The sidecar creates one per process; owned by one thread.
 */
public final class BackendScheduler {

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

  private final SchedulerOptions options;
  private final @Nullable Consumer<DecisionRecord> decisionListener;

  private final WaitingQueue waiting = new WaitingQueue();
  private final Map<Long, SchedulerEntry> running = new LinkedHashMap<>();
  private final CustomerUsage usage = new CustomerUsage();
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final FloorTracker floor;
  private int maxRunning;
  private int maxWaiting;
  private long sequence;

  private BackendScheduler(
      SchedulerOptions options, @Nullable Consumer<DecisionRecord> decisionListener) {
    this.options = options;
    this.decisionListener = decisionListener;
    this.floor = new FloorTracker(options.floorIntervalMillis());
  }

  /**
   * Returns a scheduler without slots and without counted queue places; {@link #setLimits} sets
   * both numbers.
   */
  public static BackendScheduler create(SchedulerOptions options) {
    return new BackendScheduler(options, null);
  }

  /** Returns a scheduler that also passes each decision to a listener. */
  public static BackendScheduler create(
      SchedulerOptions options, Consumer<DecisionRecord> decisionListener) {
    return new BackendScheduler(options, decisionListener);
  }

  /**
   * Sets the number of slots and the number of queue places. Requests that run or wait already
   * stay, also if there are more of them than the new limits allow.
   *
   * @return the actions to carry out, in order
   */
  public List<SchedulerAction> setLimits(int newMaxRunning, int newMaxWaiting, long nowMillis) {
    maxRunning = newMaxRunning;
    maxWaiting = newMaxWaiting;
    return schedule(new ArrayList<>(), nowMillis);
  }

  /**
   * Adds a new request: starts it, lets it wait or refuses it.
   *
   * @param request the request; its id must not be in use
   * @return the actions to carry out, in order
   */
  public List<SchedulerAction> submit(ScheduledRequest request, long nowMillis) {
    // Changes that became due since the last call, such as the end of a protected run, come first:
    // a new request must not be refused because of a lower-tier request that can be preempted now.
    List<SchedulerAction> actions = schedule(new ArrayList<>(), nowMillis);
    SchedulerEntry entry = new SchedulerEntry(request, sequence++);
    boolean firstOfClass = !waiting.hasClass(request.serviceClass());
    if (firstOfClass) {
      floor.firstRequestArrived(request.serviceClass(), nowMillis);
    }
    if (admit(entry, firstOfClass, actions, nowMillis)) {
      waiting.add(entry);
    } else {
      refuse(entry, ReasonCode.QUEUE_FULL, Kind.REFUSED, null, actions, nowMillis);
    }
    return schedule(actions, nowMillis);
  }

  /** Updates the number of answer tokens of a running request; ignores unknown ids. */
  public void updateProgress(long id, int tokens) {
    SchedulerEntry entry = running.get(id);
    if (entry != null) {
      entry.answerTokens = tokens;
    }
  }

  /** Removes a running request that ended by itself; ignores unknown ids. */
  public List<SchedulerAction> finish(long id, long nowMillis) {
    SchedulerEntry entry = running.remove(id);
    if (entry != null) {
      settleUsage(entry, nowMillis);
      serviceTimes.add(entry.request.serviceClass(), (double) entry.servedMillis);
    }
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Removes a waiting or running request without a refusal; ignores unknown ids. */
  public List<SchedulerAction> cancel(long id, long nowMillis) {
    waiting
        .remove(id)
        .ifPresent(entry -> floor.endedWithoutStart(entry.request.serviceClass(), nowMillis));
    SchedulerEntry entry = running.remove(id);
    if (entry != null) {
      settleUsage(entry, nowMillis);
    }
    return schedule(new ArrayList<>(), nowMillis);
  }

  /**
   * Refuses requests that can't meet their deadlines any more, and preempts and starts requests as
   * time passes. To be called often.
   */
  public List<SchedulerAction> tick(long nowMillis) {
    return schedule(new ArrayList<>(), nowMillis);
  }

  /** Refuses all waiting requests. */
  public List<SchedulerAction> refuseWaiting(ReasonCode reason, long nowMillis) {
    List<SchedulerAction> actions = new ArrayList<>();
    for (SchedulerEntry entry : List.copyOf(waiting.entries())) {
      waiting.remove(entry.request.id());
      refuse(entry, reason, Kind.REFUSED, null, actions, nowMillis);
    }
    return actions;
  }

  /** Returns the number of running requests. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the number of slots. */
  public int maxRunning() {
    return maxRunning;
  }

  /** Returns the number of waiting requests, indexed by tier. */
  public int[] waitingByTier() {
    int[] counts = new int[ServiceClass.TIER_COUNT];
    waiting.entries().forEach(entry -> counts[entry.request.tier()]++);
    return counts;
  }

  /** Returns the lowest tier (highest number) with a waiting request; -1 if nothing waits. */
  public int lowestWaitingTier() {
    return waiting.entries().stream().mapToInt(entry -> entry.request.tier()).max().orElse(-1);
  }

  private boolean usesTiers() {
    return options.policy() == SchedulingPolicy.TIERS;
  }

  /** Returns whether there is a queue place, if necessary after displacing another request. */
  private boolean admit(
      SchedulerEntry entry, boolean firstOfClass, List<SchedulerAction> actions, long nowMillis) {
    if (!usesTiers()) {
      return waiting.size() < maxWaiting || running.size() < maxRunning;
    }
    if (firstOfClass || waiting.countedSize(maxRunning) < maxWaiting) {
      return true;
    }
    Optional<SchedulerEntry> victim = waiting.findDisplaceable(entry.request.tier(), maxRunning);
    victim.ifPresent(
        displaced -> {
          waiting.remove(displaced.request.id());
          refuse(
              displaced, ReasonCode.DISPLACED, Kind.DISPLACED, entry.request, actions, nowMillis);
        });
    return victim.isPresent();
  }

  private List<SchedulerAction> schedule(List<SchedulerAction> actions, long nowMillis) {
    refuseExpired(actions, nowMillis);
    while (running.size() < maxRunning && !waiting.isEmpty()) {
      startNext(actions, nowMillis);
    }
    if (usesTiers()) {
      preemptLowerTiers(actions, nowMillis);
      refuseInfeasible(actions, nowMillis);
    }
    return actions;
  }

  private void startNext(List<SchedulerAction> actions, long nowMillis) {
    Optional<SchedulerEntry> due = usesTiers() ? floorDue(nowMillis) : Optional.empty();
    if (due.isPresent()) {
      start(due.get(), Kind.STARTED_BY_FLOOR, actions, nowMillis);
    } else {
      start(nextEntry(nowMillis), Kind.STARTED, actions, nowMillis);
    }
  }

  private SchedulerEntry nextEntry(long nowMillis) {
    return usesTiers()
        ? waiting.firstInStartOrder(usage, nowMillis).orElseThrow()
        : waiting.oldest().orElseThrow();
  }

  /**
   * Returns the oldest request of the class that has been due for the longest time by the floor;
   * empty if no class is due.
   */
  private Optional<SchedulerEntry> floorDue(long nowMillis) {
    return waiting.oldestByClass().values().stream()
        .filter(entry -> floor.dueMillis(entry.request.serviceClass()) <= nowMillis)
        .min(
            Comparator.comparingLong(
                    (SchedulerEntry entry) -> floor.dueMillis(entry.request.serviceClass()))
                .thenComparingInt(entry -> entry.request.tier())
                .thenComparingLong(entry -> entry.sequence));
  }

  /**
   * Preempts running requests for waiting requests of higher tiers. The slot goes to the request
   * that caused the preemption and is not assigned by the floor, which uses free slots only;
   * otherwise a preemption could start a request of a lower tier than the preempted one.
   */
  private void preemptLowerTiers(List<SchedulerAction> actions, long nowMillis) {
    while (!waiting.isEmpty() && running.size() >= maxRunning) {
      SchedulerEntry next = nextEntry(nowMillis);
      Optional<SchedulerEntry> victim =
          running.values().stream()
              .filter(entry -> entry.request.tier() > next.request.tier())
              .filter(entry -> entry.canBePreempted(options, nowMillis))
              .max(
                  Comparator.comparingInt((SchedulerEntry entry) -> entry.request.tier())
                      .thenComparingInt(entry -> -entry.answerTokens)
                      .thenComparingLong(entry -> entry.sequence));
      if (victim.isEmpty()) {
        return;
      }
      preempt(victim.get(), next.request, actions, nowMillis);
      start(next, Kind.STARTED_BY_PREEMPTION, actions, nowMillis);
    }
  }

  private void preempt(
      SchedulerEntry victim,
      ScheduledRequest beneficiary,
      List<SchedulerAction> actions,
      long nowMillis) {
    running.remove(victim.request.id());
    record(nowMillis, Kind.PREEMPTED, victim, null, beneficiary);
    settleUsage(victim, nowMillis);
    victim.preemptions++;
    floor.preempted(victim.request.serviceClass());
    waiting.add(victim);
    actions.add(new SchedulerAction.Preempt(victim.request));
  }

  private void start(
      SchedulerEntry entry, Kind kind, List<SchedulerAction> actions, long nowMillis) {
    waiting.remove(entry.request.id());
    record(nowMillis, kind, entry, null, null);
    entry.startedMillis = nowMillis;
    entry.startedByFloor = kind == Kind.STARTED_BY_FLOOR;
    entry.chargedMillis = Math.max(1, serviceTimes.meanMillis(entry.request.serviceClass()));
    usage.add(entry.request.customer(), entry.chargedMillis, nowMillis);
    floor.started(entry.request.serviceClass(), nowMillis);
    running.put(entry.request.id(), entry);
    actions.add(new SchedulerAction.Start(entry.request));
  }

  /** Replaces the usage charged in advance at the start by the slot time that was used. */
  private void settleUsage(SchedulerEntry entry, long nowMillis) {
    long usedMillis = Math.max(0, nowMillis - entry.startedMillis);
    entry.servedMillis += usedMillis;
    usage.add(entry.request.customer(), usedMillis - entry.chargedMillis, nowMillis);
  }

  private void refuseExpired(List<SchedulerAction> actions, long nowMillis) {
    waiting.entries().stream()
        .filter(entry -> entry.request.deadlineMillis() <= nowMillis)
        .toList()
        .forEach(
            entry -> {
              waiting.remove(entry.request.id());
              refuse(entry, ReasonCode.DEADLINE, Kind.REFUSED, null, actions, nowMillis);
            });
  }

  /** Refuses waiting requests that are estimated to miss their deadlines. */
  private void refuseInfeasible(List<SchedulerAction> actions, long nowMillis) {
    WaitEstimate estimate = estimate(nowMillis);
    Map<String, SchedulerEntry> oldestByClass = waiting.oldestByClass();
    int ahead = 0;
    double aheadMillis = 0;
    for (SchedulerEntry entry : waiting.inStartOrder(usage, nowMillis)) {
      double waitMillis = estimate.waitMillis(entry.request.tier(), ahead, aheadMillis);
      String serviceClass = entry.request.serviceClass();
      double neededMillis = waitMillis + serviceTimes.meanMillis(serviceClass);
      if (entry.equals(oldestByClass.get(serviceClass))) {
        // The floor starts this request regardless of higher tiers, so its wait is bounded. Without
        // this bound, an overestimate could keep a class from ever starting.
        double floorWaitMillis = Math.max(0, floor.dueMillis(serviceClass) - nowMillis);
        neededMillis = Math.min(waitMillis, floorWaitMillis + estimate.nextSlotMillis());
      }
      if (waitMillis > 0 && nowMillis + neededMillis > entry.request.deadlineMillis()) {
        waiting.remove(entry.request.id());
        refuse(entry, ReasonCode.DEADLINE, Kind.REFUSED, null, actions, nowMillis);
      } else {
        ahead++;
        aheadMillis += serviceTimes.meanMillis(serviceClass);
      }
    }
  }

  private WaitEstimate estimate(long nowMillis) {
    return new WaitEstimate(serviceTimes, running.values(), maxRunning, nowMillis);
  }

  private void refuse(
      SchedulerEntry entry,
      ReasonCode reason,
      Kind kind,
      @Nullable ScheduledRequest beneficiary,
      List<SchedulerAction> actions,
      long nowMillis) {
    record(nowMillis, kind, entry, reason, beneficiary);
    floor.endedWithoutStart(entry.request.serviceClass(), nowMillis);
    actions.add(
        new SchedulerAction.Refuse(
            entry.request,
            reason,
            entry.preemptions > 0,
            retryAfterMillis(entry.request.tier(), nowMillis)));
  }

  private long retryAfterMillis(int tier, long nowMillis) {
    if (serviceTimes.overallMillis() == 0) {
      return DEFAULT_RETRY_AFTER_MILLIS;
    }
    List<SchedulerEntry> ahead =
        waiting.entries().stream().filter(entry -> entry.request.tier() <= tier).toList();
    double aheadMillis =
        ahead.stream()
            .mapToDouble(entry -> serviceTimes.meanMillis(entry.request.serviceClass()))
            .sum();
    int floorClasses =
        (int)
            waiting.oldestByClass().values().stream()
                .filter(entry -> entry.request.tier() > tier)
                .count();
    WaitEstimate estimate = estimate(nowMillis);
    double waitMillis =
        estimate.withFloorStarts(
            estimate.waitMillis(tier, ahead.size(), aheadMillis),
            floorClasses,
            options.floorIntervalMillis());
    return Math.clamp((long) Math.ceil(waitMillis), MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  private void record(
      long nowMillis,
      Kind kind,
      SchedulerEntry subject,
      @Nullable ReasonCode reason,
      @Nullable ScheduledRequest beneficiary) {
    Consumer<DecisionRecord> listener = decisionListener;
    if (listener == null) {
      return;
    }
    Set<SchedulerEntry> reserved = waiting.reservedEntries(maxRunning);
    Stream<Occupant> waitingOccupants =
        allExcept(waiting.entries().stream(), subject)
            .map(entry -> new Occupant(entry.request, !reserved.contains(entry)));
    // For a refusal, preemption is evaluated before the deadline of the request: a slot that can be
    // preempted only at or after the deadline is of no use to the request.
    long evaluatedMillis =
        kind == Kind.REFUSED
            ? Math.min(nowMillis, subject.request.deadlineMillis() - 1)
            : nowMillis;
    Stream<Occupant> runningOccupants =
        allExcept(running.values().stream(), subject)
            .map(
                entry ->
                    new Occupant(entry.request, entry.canBePreempted(options, evaluatedMillis)));
    listener.accept(
        new DecisionRecord(
            nowMillis,
            kind,
            subject.request,
            reason,
            beneficiary,
            waitingOccupants.toList(),
            runningOccupants.toList()));
  }

  private static Stream<SchedulerEntry> allExcept(
      Stream<SchedulerEntry> entries, SchedulerEntry subject) {
    return entries.filter(entry -> !entry.equals(subject));
  }
}
