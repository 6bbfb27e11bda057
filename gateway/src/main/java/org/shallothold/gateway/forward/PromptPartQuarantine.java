package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.shallothold.core.crash.CrashStatements;
import org.shallothold.core.crash.PartAssessment;
import org.shallothold.core.crash.PartQuarantine;
import org.shallothold.core.crash.PartSuccess;
import org.shallothold.core.crash.PartSuspicion;
import org.shallothold.core.crash.StandingChange;
import org.shallothold.core.crash.TrialAdmission;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.rate.Coordinators;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.SendPermitAnswer;
import org.shallothold.wire.proto.SendPermitRequest;

/**
 * Keeps prompt parts that end model engines away from them, together with the other gateways: asks
 * the coordinator for trials, exchanges evidence and logs each change of what is believed of a
 * part. The decisions are those of {@link PartQuarantine}. Owned by the event loop.
 */
final class PromptPartQuarantine {

  // Lost messages are made up for within this time.
  private static final long REPEAT_EVIDENCE_MILLIS = 3_000;
  // Older evidence that led to no block is not repeated.
  private static final long MAX_REPEATED_AGE_MILLIS = 15_000;
  // The standing of parts changes some time after the evidence.
  private static final long RECHECK_MILLIS = PartAssessment.SETTLE_MILLIS + 5;

  private final String processId;
  private final EventLoop eventLoop;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private final PartQuarantine quarantine = PartQuarantine.create();
  private Gateways gateways = Gateways.single();
  private Runnable evidenceListener = () -> {};
  private Runnable standingListener = () -> {};
  private long evidenceRepeatedMillis = Long.MIN_VALUE / 2;

  PromptPartQuarantine(
      String processId, EventLoop eventLoop, StructuredLog log, ForwardMetrics metrics) {
    this.processId = processId;
    this.eventLoop = eventLoop;
    this.log = log;
    this.metrics = metrics;
    quarantine.setCoordinator(true);
  }

  /** Sets the listener that is called when there is evidence that peers should be told. */
  void setEvidenceListener(Runnable listener) {
    evidenceListener = listener;
  }

  /** Sets the listener that is called when the standing of a part may have changed. */
  void setStandingListener(Runnable listener) {
    standingListener = listener;
  }

  /** Sets the other gateways, before the first request arrives. */
  void setGateways(Gateways connected) {
    gateways = connected;
    gatewaysChanged();
  }

  /** Determines the coordinator again after the live gateways changed. */
  void gatewaysChanged() {
    quarantine.setCoordinator(isCoordinator());
  }

  private Optional<String> coordinator() {
    return Coordinators.coordinator(PartQuarantine.COORDINATED_NAME, gateways.live());
  }

  private boolean isCoordinator() {
    return coordinator().filter(gateways.ownAddress()::equals).isPresent();
  }

  // Requests of this gateway

  /**
   * Returns whether a request may be sent now; asks the coordinator for a trial if it needs one.
   *
   * @param requestNumber number that this gateway gave the request
   * @param partIds parts of its prompt that it shares with other requests
   */
  TrialAdmission admit(long requestNumber, Collection<Long> partIds) {
    TrialAdmission admission = quarantine.admit(requestNumber, partIds, MonotonicClock.millis());
    return admission instanceof TrialAdmission.ShouldAsk question
        ? ask(requestNumber, question.partIds())
        : admission;
  }

  private TrialAdmission ask(long requestNumber, List<Long> partIds) {
    long nowMillis = MonotonicClock.millis();
    quarantine.recordQuestion(requestNumber, nowMillis);
    Optional<String> coordinator = coordinator();
    if (coordinator.isEmpty()) {
      return new TrialAdmission.Waits();
    }
    if (coordinator.get().equals(gateways.ownAddress())) {
      boolean granted = quarantine.tryStartTrial(processId, requestNumber, partIds, nowMillis);
      quarantine.recordAnswer(requestNumber, granted);
      return granted ? new TrialAdmission.OnTrial() : new TrialAdmission.Waits();
    }
    gateways.send(
        coordinator.get(),
        SendPermitRequest.newBuilder()
            .addAllTrialPartIds(partIds)
            .setRequestNumber(requestNumber)
            .setAskedMillis(nowMillis)
            .build());
    return new TrialAdmission.Waits();
  }

  /** Returns the refusal of a request with the parts if one is blocked, and else an admission. */
  TrialAdmission blockedPart(Collection<Long> partIds) {
    return quarantine.blockedPart(partIds, MonotonicClock.millis());
  }

  /** Records that a request is sent, which uses up its trial. */
  void recordSend(long requestNumber) {
    quarantine.recordSend(requestNumber);
  }

  /** Tells the coordinator that the trial of a request is over, if it had asked for one. */
  void requestEnded(long requestNumber) {
    if (!quarantine.endTrial(requestNumber)) {
      return;
    }
    coordinator()
        .ifPresent(
            address -> {
              if (address.equals(gateways.ownAddress())) {
                quarantine.trialEnded(processId, requestNumber);
              } else {
                gateways.send(
                    address,
                    SendPermitRequest.newBuilder()
                        .setTrialEnded(true)
                        .setRequestNumber(requestNumber)
                        .build());
              }
            });
  }

  /** Returns what is known of a part for logs. */
  LogLine describe(LogLine line, long partId) {
    PartAssessment assessment = quarantine.assessment(partId);
    line.with("part", Long.toHexString(partId));
    return assessment == null
        ? line
        : line.with("ended_servers", String.join(",", assessment.servers()))
            .with("last_end_age_millis", MonotonicClock.millis() - assessment.lastCrashMillis())
            .with("indistinct_from", toText(assessment.indistinctFrom()));
  }

  // Evidence

  /** Records that a server has answered a request with the parts for some time. */
  void recordSuccess(Collection<Long> partIds) {
    quarantine.recordSuccess(partIds, MonotonicClock.millis());
    evidenceChanged("server response");
  }

  /** Records the end of a server. */
  void serverEnded(TrackedServer server, long endMillis, Map<Long, Long> sentMillisByPart) {
    long nowMillis = MonotonicClock.millis();
    metrics.serverEnds.labelValues(server.entry().service()).inc();
    log.add(
        LogLine.of("server_ended")
            .with("server", server.entry().id())
            .with("age_millis", nowMillis - endMillis)
            .with("suspected_parts", toText(sentMillisByPart.keySet())));
    quarantine.recordCrash(server.entry().id(), endMillis, sentMillisByPart, nowMillis);
    evidenceChanged("own connections");
  }

  private static String toText(Collection<Long> partIds) {
    return partIds.stream().map(Long::toHexString).sorted().collect(Collectors.joining(","));
  }

  /** Applies evidence of a peer; returns what was not known yet, or empty if it was all known. */
  Optional<CrashEvidence> received(CrashEvidence evidence, String peer) {
    long nowMillis = MonotonicClock.millis();
    quarantine.received(
        new CrashStatements(
            evidence.getSuspicionsList().stream()
                .map(suspicion -> fromProto(suspicion, nowMillis))
                .toList(),
            evidence.getSuccessesList().stream()
                .map(
                    success ->
                        new PartSuccess(
                            success.getPartId(), nowMillis - Math.max(0, success.getAgeMillis())))
                .toList()),
        nowMillis);
    Optional<CrashEvidence> learned = toProto(quarantine.takeLearnedStatements());
    evidenceChanged(peer);
    return learned;
  }

  private void evidenceChanged(String source) {
    if (quarantine.hasStatements()) {
      evidenceListener.run();
    }
    if (logChanges(source)) {
      standingListener.run();
      eventLoop.schedule(
          () -> {
            if (logChanges("time")) {
              standingListener.run();
            }
          },
          RECHECK_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Logs the changes of standing since the last call; returns whether there were any. */
  private boolean logChanges(String source) {
    List<StandingChange> changes = quarantine.takeStandingChanges(MonotonicClock.millis());
    changes.forEach(
        change -> {
          metrics.partStandingChanges.labelValues(change.current().logName()).inc();
          LogLine line =
              LogLine.of("prompt_part_standing")
                  .with("standing", change.current().logName())
                  .with("former", change.former().logName())
                  .with("source", source);
          log.add(describe(line, change.partId()));
        });
    return !changes.isEmpty();
  }

  /** Logs blocks that ended by time alone. */
  void maintain() {
    if (!quarantine.restrictedParts().isEmpty() && logChanges("time")) {
      standingListener.run();
    }
  }

  /** Returns the evidence that the peers were not told of yet; empty if there is none. */
  Optional<CrashEvidence> takeEvidence() {
    return toProto(quarantine.takeStatements());
  }

  /** Returns recent evidence for peers that missed it, once in a while; empty if there is none. */
  Optional<CrashEvidence> repeatedEvidence() {
    long nowMillis = MonotonicClock.millis();
    if (nowMillis - evidenceRepeatedMillis < REPEAT_EVIDENCE_MILLIS) {
      return Optional.empty();
    }
    evidenceRepeatedMillis = nowMillis;
    return toProto(quarantine.allStatements(nowMillis - MAX_REPEATED_AGE_MILLIS));
  }

  /** Returns all evidence for a peer that may know nothing; empty if there is none. */
  Optional<CrashEvidence> allEvidence() {
    return toProto(quarantine.allStatements(Long.MIN_VALUE / 2));
  }

  private static Optional<CrashEvidence> toProto(CrashStatements statements) {
    if (statements.isEmpty()) {
      return Optional.empty();
    }
    long nowMillis = MonotonicClock.millis();
    CrashEvidence.Builder evidence = CrashEvidence.newBuilder();
    statements.suspicions().stream()
        .map(suspicion -> toProto(suspicion, nowMillis))
        .forEach(evidence::addSuspicions);
    statements
        .successes()
        .forEach(
            success ->
                evidence.addSuccesses(
                    org.shallothold.wire.proto.PartSuccess.newBuilder()
                        .setPartId(success.partId())
                        .setAgeMillis(nowMillis - success.millis())));
    return Optional.of(evidence.build());
  }

  private static org.shallothold.wire.proto.PartSuspicion toProto(
      PartSuspicion suspicion, long nowMillis) {
    return org.shallothold.wire.proto.PartSuspicion.newBuilder()
        .setPartId(suspicion.partId())
        .setServerId(suspicion.serverId())
        .setCrashAgeMillis(nowMillis - suspicion.crashMillis())
        .setSentAgeMillis(nowMillis - suspicion.sentMillis())
        .build();
  }

  private static PartSuspicion fromProto(
      org.shallothold.wire.proto.PartSuspicion suspicion, long nowMillis) {
    return new PartSuspicion(
        suspicion.getPartId(),
        suspicion.getServerId(),
        nowMillis - Math.max(0, suspicion.getCrashAgeMillis()),
        nowMillis - Math.max(0, suspicion.getSentAgeMillis()));
  }

  // Trials that this gateway coordinates

  /** Returns whether a message about a permit is about a trial. */
  static boolean isTrial(SendPermitRequest request) {
    return request.getTrialEnded() || request.getTrialPartIdsCount() > 0;
  }

  /** Answers a gateway that asks for a trial or ends one. */
  SendPermitAnswer answer(String peer, SendPermitRequest request) {
    boolean granted = false;
    if (request.getTrialEnded()) {
      quarantine.trialEnded(peer, request.getRequestNumber());
    } else if (isCoordinator()) {
      granted =
          quarantine.tryStartTrial(
              peer,
              request.getRequestNumber(),
              request.getTrialPartIdsList(),
              MonotonicClock.millis());
    } else {
      metrics.misdirectedPermitRequests.inc();
    }
    return SendPermitAnswer.newBuilder()
        .setTrial(true)
        .setRequestNumber(request.getRequestNumber())
        .setAskedMillis(request.getAskedMillis())
        .setGranted(granted)
        .build();
  }

  /** Records a coordinator's answer. */
  void answerReceived(SendPermitAnswer answer) {
    quarantine.recordAnswer(answer.getRequestNumber(), answer.getGranted());
  }

  // Gauges

  /** Returns the names of the standings of all parts that are quarantined or blocked. */
  Collection<String> restrictedStandings() {
    return quarantine.restrictedParts().values().stream()
        .map(standing -> standing.logName())
        .toList();
  }

  /** Returns the number of parts on trial, if this gateway is the coordinator. */
  int runningTrials() {
    return quarantine.runningTrials();
  }
}
