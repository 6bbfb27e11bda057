package org.shallothold.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * One gateway's part in keeping prompt parts that end engines away from them. Collects evidence,
 * decides for each request whether it may be sent, and issues trials if this gateway is the
 * coordinator. A quarantined part is tried with one request of the whole fleet at a time: a success
 * clears it, another engine's end blocks it. Without ends of engines nothing is kept but the times
 * of successes, and nothing is told to peers. Does no I/O; not thread-safe.
 */
public final class PartQuarantine {

  /** Name by which the coordinator of all trials is chosen among the gateways. */
  public static final String COORDINATED_NAME = "prompt-part-trials";

  private static final long REPEAT_QUESTION_MILLIS = 100;
  // A trial that its gateway has not used for so long may have been given to another request.
  private static final long MAX_PERMIT_AGE_MILLIS = 2_000;

  // Requests with one quarantined part are tried first: a sound part that many requests have is
  // cleared before the one that ends engines is tried.
  private static final long SEVERAL_PARTS_MILLIS = 300;
  private static final long REPEAT_SUCCESS_MILLIS = 500;
  private static final int MAX_TOLD_SUCCESSES = 10_000;

  private final CrashEvidence evidence = CrashEvidence.create();
  private final TrialIssuer trials = TrialIssuer.create();
  private boolean coordinator;
  private final Map<Long, Question> questionsByRequest = new HashMap<>();
  private final Map<Long, PartStanding> standings = new HashMap<>();
  private final Set<Long> changedParts = new HashSet<>();
  private final Untold own = new Untold();
  private final Untold learned = new Untold();
  // By part, the time at which the peers were last told of a success.
  private final Map<Long, Long> successToldMillis =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_TOLD_SUCCESSES;
        }
      };

  /** Evidence that the peers were not told of yet. */
  private static final class Untold {
    private final List<PartSuspicion> suspicions = new ArrayList<>();
    private final Map<Long, PartSuccess> successes = new LinkedHashMap<>();

    private void add(PartSuccess success) {
      successes.put(success.partId(), success);
    }

    private boolean isEmpty() {
      return suspicions.isEmpty() && successes.isEmpty();
    }

    private CrashStatements take() {
      CrashStatements statements =
          new CrashStatements(List.copyOf(suspicions), List.copyOf(successes.values()));
      suspicions.clear();
      successes.clear();
      return statements;
    }
  }

  /** State of a question to the coordinator. */
  private enum Answer {
    NONE,
    DENIED,
    GRANTED,
    USED
  }

  private record Question(long askedMillis, Answer answer) {}

  private PartQuarantine() {}

  /** Returns an instance without evidence. */
  public static PartQuarantine create() {
    return new PartQuarantine();
  }

  // Requests of this gateway

  /**
   * Returns whether a request may be sent.
   *
   * @param requestNumber number that this gateway gave the request
   * @param partIds parts that it shares with other requests
   */
  public TrialAdmission admit(long requestNumber, Collection<Long> partIds, long nowMillis) {
    List<Long> quarantined = new ArrayList<>();
    for (Long part : partIds) {
      switch (evidence.standing(part, partIds, nowMillis)) {
        case PartStanding.Clear clear -> {}
        case PartStanding.Quarantined quarantine -> quarantined.add(part);
        case PartStanding.Blocked blocked -> {
          return new TrialAdmission.Refused(part, blocked.untilMillis());
        }
      }
    }
    if (quarantined.isEmpty()) {
      return new TrialAdmission.Admitted();
    }
    Question question = questionsByRequest.get(requestNumber);
    if (question == null) {
      return new TrialAdmission.ShouldAsk(quarantined);
    }
    long ageMillis = nowMillis - question.askedMillis();
    return switch (question.answer()) {
      case GRANTED ->
          ageMillis <= MAX_PERMIT_AGE_MILLIS
              ? new TrialAdmission.OnTrial()
              : new TrialAdmission.ShouldAsk(quarantined);
      case NONE, DENIED ->
          ageMillis < REPEAT_QUESTION_MILLIS
              ? new TrialAdmission.Waits()
              : new TrialAdmission.ShouldAsk(quarantined);
      case USED -> new TrialAdmission.ShouldAsk(quarantined);
    };
  }

  /** Returns the refusal of a request with the parts if one is blocked, and else an admission. */
  public TrialAdmission blockedPart(Collection<Long> partIds, long nowMillis) {
    for (Long part : partIds) {
      if (evidence.standing(part, partIds, nowMillis) instanceof PartStanding.Blocked blocked) {
        return new TrialAdmission.Refused(part, blocked.untilMillis());
      }
    }
    return new TrialAdmission.Admitted();
  }

  /** Records that the coordinator is asked for a trial of a request. */
  public void recordQuestion(long requestNumber, long nowMillis) {
    questionsByRequest.put(requestNumber, new Question(nowMillis, Answer.NONE));
  }

  /** Records the coordinator's answer; ignored if the request no longer waits for one. */
  public void recordAnswer(long requestNumber, boolean granted) {
    setAnswer(requestNumber, granted ? Answer.GRANTED : Answer.DENIED);
  }

  /** Records that a request is sent, which uses up its trial; does nothing if it has none. */
  public void recordSend(long requestNumber) {
    setAnswer(requestNumber, Answer.USED);
  }

  private void setAnswer(long requestNumber, Answer answer) {
    questionsByRequest.computeIfPresent(
        requestNumber, (number, question) -> new Question(question.askedMillis(), answer));
  }

  /**
   * Forgets what was asked for a request.
   *
   * @return whether the coordinator may have issued a trial, and must be told that it ended
   */
  public boolean endTrial(long requestNumber) {
    return questionsByRequest.remove(requestNumber) != null;
  }

  // Evidence

  /** Records that an engine has answered a request with the parts for some time. */
  public void recordSuccess(Collection<Long> partIds, long nowMillis) {
    partIds.forEach(part -> apply(new PartSuccess(part, nowMillis), own));
  }

  /**
   * Records the end of an engine.
   *
   * @param sentMillisByPart parts of the requests that it had hardly begun to answer, with the
   *     latest time at which such a request was sent there
   */
  public void recordCrash(
      String serverId, long crashMillis, Map<Long, Long> sentMillisByPart, long nowMillis) {
    apply(
        sentMillisByPart.entrySet().stream()
            .map(
                entry -> new PartSuspicion(entry.getKey(), serverId, crashMillis, entry.getValue()))
            .toList(),
        own,
        nowMillis);
  }

  /** Applies what a peer tells. What is new is told to the other peers. */
  public void received(CrashStatements statements, long nowMillis) {
    statements.successes().forEach(success -> apply(success, learned));
    apply(statements.suspicions(), learned, nowMillis);
  }

  private void apply(PartSuccess success, Untold untold) {
    if (evidence.recordSuccess(success)) {
      trials.decided(success.partId(), success.millis());
      untold.add(success);
    }
  }

  private void apply(List<PartSuspicion> suspicions, Untold untold, long nowMillis) {
    List<PartSuspicion> added = evidence.recordSuspicions(suspicions, nowMillis);
    untold.suspicions.addAll(added);
    added.forEach(suspicion -> changedParts.add(suspicion.partId()));
    added.forEach(suspicion -> trials.decided(suspicion.partId(), suspicion.sentMillis()));
    // Gateways without a success of their own learn of it from the coordinator alone: one answer to
    // each suspicion is enough.
    if (coordinator) {
      suspicions.forEach(suspicion -> tellWeakeningSuccess(suspicion, nowMillis));
    }
  }

  private void tellWeakeningSuccess(PartSuspicion suspicion, long nowMillis) {
    long part = suspicion.partId();
    OptionalLong success = evidence.lastSuccessMillis(part);
    if (success.isEmpty() || !CrashEvidence.weakens(success.getAsLong(), suspicion.crashMillis())) {
      return;
    }
    // The same suspicion arrives from many peers.
    Long toldMillis = successToldMillis.get(part);
    if (toldMillis == null || nowMillis - toldMillis >= REPEAT_SUCCESS_MILLIS) {
      successToldMillis.put(part, nowMillis);
      own.add(new PartSuccess(part, success.getAsLong()));
    }
  }

  /** Returns the evidence that the peers were not told of yet, and regards it as told. */
  public CrashStatements takeStatements() {
    CrashStatements ofPeers = learned.take();
    CrashStatements ofThisGateway = own.take();
    return new CrashStatements(
        Stream.concat(ofPeers.suspicions().stream(), ofThisGateway.suspicions().stream()).toList(),
        Stream.concat(ofPeers.successes().stream(), ofThisGateway.successes().stream()).toList());
  }

  /**
   * Returns the evidence learned from peers that the others were not told of yet, and regards it as
   * told.
   */
  public CrashStatements takeLearnedStatements() {
    return learned.take();
  }

  /** Returns whether there is evidence that the peers were not told of yet. */
  public boolean hasStatements() {
    return !own.isEmpty() || !learned.isEmpty();
  }

  /**
   * Returns the evidence for a peer that may know nothing.
   *
   * @param newerThanMillis ends of engines before this time are left out unless they led to a block
   */
  public CrashStatements allStatements(long newerThanMillis) {
    List<PartSuspicion> suspicions = evidence.suspicions(newerThanMillis);
    List<PartSuccess> successes =
        suspicions.stream()
            .map(PartSuspicion::partId)
            .distinct()
            .flatMap(
                part ->
                    evidence.lastSuccessMillis(part).stream()
                        .mapToObj(millis -> new PartSuccess(part, millis)))
            .toList();
    return new CrashStatements(suspicions, successes);
  }

  // Trials that this gateway coordinates

  /** Sets whether this gateway is the coordinator of all trials. */
  public void setCoordinator(boolean coordinates) {
    coordinator = coordinates;
  }

  /**
   * Answers a gateway that asks for a trial.
   *
   * @param gateway process id of the gateway
   * @param requestNumber number that the gateway gave the request
   * @param partIds parts that the gateway regards as quarantined
   */
  public boolean tryStartTrial(
      String gateway, long requestNumber, Collection<Long> partIds, long nowMillis) {
    return partIds.stream().noneMatch(part -> isUndecidedOrBlocked(part, partIds, nowMillis))
        && (partIds.size() == 1 || nowMillis >= lastCrashMillis(partIds) + SEVERAL_PARTS_MILLIS)
        && trials.tryStart(partIds, gateway, requestNumber, nowMillis);
  }

  private long lastCrashMillis(Collection<Long> partIds) {
    return partIds.stream()
        .map(evidence::assessment)
        .filter(Objects::nonNull)
        .mapToLong(PartAssessment::lastCrashMillis)
        .max()
        .orElse(Long.MIN_VALUE / 2);
  }

  private boolean isUndecidedOrBlocked(long part, Collection<Long> partIds, long nowMillis) {
    PartAssessment assessment = evidence.assessment(part);
    return assessment != null
        && (!assessment.isSettled(nowMillis)
            || assessment.standing(partIds, nowMillis) instanceof PartStanding.Blocked);
  }

  /** Ends the trial of a request that showed nothing; does nothing if it has none. */
  public void trialEnded(String gateway, long requestNumber) {
    trials.end(gateway, requestNumber);
  }

  // Logs and metrics

  /** Returns the changes of standing since the last call. */
  public List<StandingChange> takeStandingChanges(long nowMillis) {
    if (standings.isEmpty() && changedParts.isEmpty()) {
      return List.of();
    }
    TreeSet<Long> parts = new TreeSet<>(standings.keySet());
    parts.addAll(changedParts);
    changedParts.clear();
    return parts.stream()
        .map(part -> takeStandingChange(part, nowMillis))
        .flatMap(Optional::stream)
        .toList();
  }

  private Optional<StandingChange> takeStandingChange(long part, long nowMillis) {
    PartStanding former = Objects.requireNonNullElse(standings.get(part), PartStanding.clear());
    PartStanding current = evidence.standing(part, nowMillis);
    if (current instanceof PartStanding.Clear) {
      standings.remove(part);
    } else {
      standings.put(part, current);
    }
    return former.equals(current)
        ? Optional.empty()
        : Optional.of(new StandingChange(part, former, current, assessment(part)));
  }

  /** Returns what is known of a part, or null if it is not suspected. */
  public @Nullable PartAssessment assessment(long partId) {
    return evidence.assessment(partId);
  }

  /** Returns the parts that were quarantined or blocked at the last change, with their standing. */
  public Map<Long, PartStanding> restrictedParts() {
    return Collections.unmodifiableMap(standings);
  }

  /** Returns the number of parts on trial, if this gateway is the coordinator. */
  public int runningTrials() {
    return trials.runningTrials();
  }
}
