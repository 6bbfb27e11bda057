package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.placement.EngineEstimate;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PublishedChanges;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.rate.RateObservation;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.caller.CallerListener;
import org.shallothold.gateway.forward.peer.PeerExchange;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.Transport;
import org.shallothold.wire.proto.ColdState;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.EngineSpeed;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.RampUpState;
import org.shallothold.wire.proto.SendPermitAnswer;
import org.shallothold.wire.proto.SendPermitRequest;
import org.shallothold.wire.proto.WorkChanges;

/**
 * A gateway that forwards requests directly to backend servers. All of its state is owned by one
 * event loop. One per process; it runs until the process ends.
 */
public final class ForwardingGateway {

  private static final long MAINTENANCE_INTERVAL_MILLIS = 500;
  private static final long ENGINE_LOG_INTERVAL_MILLIS = 5_000;
  // The platform polls readiness every second and stops sending new connections after two failed
  // polls.
  private static final long ROTATION_REMOVAL_MILLIS = 2_600;
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;
  // Requests that are still open are ended only shortly before the process would be killed.
  private static final double DRAIN_FRACTION_OF_SHUTDOWN = 0.93;
  // Until then, the last responses are written.
  private static final double WRITE_FRACTION_OF_SHUTDOWN = 0.97;
  private static final double THOUSANDTHS_PER_ENGINE = 1_000;
  private static final double PERCENT = 100;
  // Peers that were cut off for less than this learn that a limit ended also without requests.
  private static final long RATE_END_REPORT_MILLIS = 60_000;
  private static final String METRICS_PATH = "/metrics";

  private final ForwardOptions options;
  private final EventLoop eventLoop;
  private final StructuredLog log;
  private final ForwardMetrics metrics = ForwardMetrics.create();
  private final ForwardGauges gauges = ForwardGauges.register(metrics.registry());
  private final RoutingState state;
  private final PrefixReads prefixReads = new PrefixReads();
  private final Forwarder forwarder;
  private final CallerListener callerListener;
  private @Nullable PeerExchange peerExchange;

  private ForwardingGateway(
      ForwardOptions options,
      EventLoop eventLoop,
      CallerListener callerListener,
      HeaderTranslation translation,
      PublishedDecoder decoder,
      long itemLifetimeMillis,
      StructuredLog log) {
    this.options = options;
    this.eventLoop = eventLoop;
    this.callerListener = callerListener;
    this.log = log;
    this.state =
        new RoutingState(eventLoop, decoder, translation, log, metrics, itemLifetimeMillis);
    this.forwarder =
        new Forwarder(
            options, eventLoop, state, translation, log, metrics, this::gatewayCount, prefixReads);
    forwarder.setWorkChangeListener(this::announceChanges);
  }

  /**
   * Starts a gateway: binds all addresses and starts to read what the platform publishes.
   *
   * @return the running gateway
   * @throws IllegalStateException if an address can't be bound
   */
  public static ForwardingGateway start(
      ForwardOptions options,
      HeaderTranslation translation,
      PublishedDecoder decoder,
      PublishedSource source,
      StructuredLog log) {
    EventLoopGroup eventLoops = Transport.group("forward", 1);
    // Callers' address is bound first: after a restart, callers whose connections are refused fail
    // and don't try again.
    CallerListener callerListener = CallerListener.bind(eventLoops, options.callerAddress());
    ForwardingGateway gateway =
        new ForwardingGateway(
            options,
            eventLoops.next(),
            callerListener,
            translation,
            decoder,
            source.itemLifetimeMillis(),
            log);
    gateway.startListeners(eventLoops, source);
    log.add(
        LogLine.of("started")
            .with("failure_domain", options.failureDomain())
            .with("callers", options.callerAddress().toString()));
    return gateway;
  }

  /** Returns the port on which callers connect; the bound one if the options asked for port 0. */
  public int callerPort() {
    return callerListener.port();
  }

  /**
   * Drains the gateway before the process ends. Readiness fails at once; connections and requests
   * are accepted until the platform has taken the gateway out of rotation, and refused afterwards.
   * Blocks until all responses are written. If the shutdown timeout has nearly passed, ends the
   * requests that are still open: their callers learn whether they may have run.
   *
   * @return whether all requests got the responses of their servers
   */
  public boolean drain() {
    long startMillis = MonotonicClock.millis();
    long endMillis =
        startMillis + (long) (options.shutdownTimeoutMillis() * DRAIN_FRACTION_OF_SHUTDOWN);
    log.add(
        LogLine.of("stopping").with("open_requests", callOnEventLoop(forwarder::openRequestCount)));
    eventLoop.execute(() -> forwarder.startLeaving(endMillis));
    boolean stoppedAccepting = false;
    while (MonotonicClock.millis() < endMillis) {
      boolean outOfRotation = MonotonicClock.millis() - startMillis >= ROTATION_REMOVAL_MILLIS;
      if (outOfRotation && !stoppedAccepting) {
        stoppedAccepting = true;
        callOnEventLoop(this::stopAcceptingRequests);
      }
      if (outOfRotation && callOnEventLoop(this::unfinishedCount) == 0) {
        break;
      }
      sleepBetweenPolls();
    }
    int endedRequests = callOnEventLoop(this::endOpenRequests);
    long lastWriteMillis =
        startMillis + (long) (options.shutdownTimeoutMillis() * WRITE_FRACTION_OF_SHUTDOWN);
    while (MonotonicClock.millis() < lastWriteMillis
        && callOnEventLoop(this::unfinishedCount) > 0) {
      sleepBetweenPolls();
    }
    log.add(
        LogLine.of("stopped")
            .with("requests_ended", endedRequests)
            .with("responses_cut", callOnEventLoop(this::unfinishedCount)));
    return endedRequests == 0;
  }

  private int endOpenRequests() {
    callerListener.refuseIncompleteRequests();
    return forwarder.endOpenRequests();
  }

  private void startListeners(EventLoopGroup eventLoops, PublishedSource source) {
    if (options.peerAddress() != null) {
      peerExchange =
          PeerExchange.start(
              eventLoop,
              new PeerExchange.Settings(
                  options.processId(),
                  options.failureDomain(),
                  options.peerAddress(),
                  options.seedAddresses()),
              new PeerSource(),
              metrics::recordSentToPeer,
              log);
      ConnectedGateways gateways = new ConnectedGateways(peerExchange);
      forwarder.rateLimits().setGateways(gateways);
      forwarder.promptParts().setGateways(gateways);
    }
    StatusListener.start(eventLoops, options.readinessAddress(), this::readinessResponse);
    if (options.metricsAddress() != null) {
      StatusListener.start(eventLoops, options.metricsAddress(), this::metricsResponse);
    }
    EventLoopWatch.start(
        eventLoop, List.of(state.serverReads(), forwarder.readScheduler()), log, metrics);
    source.start(eventLoop, state);
    callerListener.serve(forwarder);
    eventLoop.scheduleAtFixedRate(
        this::maintain,
        MAINTENANCE_INTERVAL_MILLIS,
        MAINTENANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    eventLoop.scheduleAtFixedRate(
        this::logEngineSpeeds,
        ENGINE_LOG_INTERVAL_MILLIS,
        ENGINE_LOG_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void maintain() {
    state.maintain();
    forwarder.maintain();
  }

  private void logEngineSpeeds() {
    forwarder.queues().values().forEach(queue -> queue.engineSpeedLine().ifPresent(log::add));
    forwarder.queues().values().forEach(queue -> queue.speedChangeLine().ifPresent(log::add));
    forwarder.rateLimits().logUsage(state.allServers());
  }

  private StatusListener.Response readinessResponse(String path) {
    if (!path.equals(options.readinessPath())) {
      return StatusListener.Response.notFound();
    }
    boolean ready = state.canServe() && !forwarder.isLeaving();
    HttpResponseStatus status =
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return new StatusListener.Response(status.code(), "");
  }

  private StatusListener.Response metricsResponse(String path) {
    if (!path.equals(METRICS_PATH)) {
      return StatusListener.Response.notFound();
    }
    long nowMillis = MonotonicClock.millis();
    gauges.updateRoutingState(state, nowMillis);
    gauges.updateRequests(forwarder, nowMillis);
    gauges.updateRequestMemory(callerListener.requestMemory());
    gauges.updateProcess(
        gatewayCount(),
        peerExchange == null ? 0 : peerExchange.oldestUpdateAgeMillis(),
        callerListener.connections(),
        log.droppedLines());
    return new StatusListener.Response(HttpResponseStatus.OK.code(), metrics.text());
  }

  private int gatewayCount() {
    return peerExchange == null ? 1 : peerExchange.gatewayCount();
  }

  private void announceChanges() {
    if (peerExchange != null) {
      peerExchange.announceChanges();
    }
  }

  /** Returns 0 when all requests have ended and their responses have been written. */
  private int unfinishedCount() {
    return forwarder.openRequestCount() + (int) callerListener.busyConnections();
  }

  /**
   * Stops accepting connections and requests. While other gateways leave too, the platform may go
   * on sending callers here; if they were accepted until the end, the last of them would be cut
   * off.
   *
   * @return the number of requests still in flight
   */
  int stopAcceptingRequests() {
    forwarder.refuseNewRequests();
    callerListener.stopAccepting();
    callerListener.closeIdle();
    return forwarder.openRequestCount();
  }

  /** Returns the memory for buffers; to be used on the event loop only. */
  MemoryBudget memory() {
    return forwarder.memory();
  }

  /** Returns a listed server, or null if there is none; to be used on the event loop only. */
  @Nullable TrackedServer server(String id) {
    return state.server(id);
  }

  /** Returns the memory that callers' requests share. */
  RequestMemoryBudget requestMemory() {
    return forwarder.requestMemory();
  }

  private int callOnEventLoop(java.util.function.IntSupplier supplier) {
    CountDownLatch completed = new CountDownLatch(1);
    int[] result = new int[1];
    eventLoop.execute(
        () -> {
          result[0] = supplier.getAsInt();
          completed.countDown();
        });
    try {
      completed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return result[0];
  }

  private static void sleepBetweenPolls() {
    try {
      Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The gateways that the peer exchange knows. */
  private record ConnectedGateways(PeerExchange exchange) implements Gateways {

    @Override
    public String ownAddress() {
      return exchange.ownAddress();
    }

    @Override
    public Collection<String> live() {
      return exchange.liveGateways();
    }

    @Override
    public Collection<String> leaving() {
      return exchange.leavingGateways();
    }

    @Override
    public double reachableFraction() {
      return exchange.reachableFraction();
    }

    @Override
    public boolean send(String address, SendPermitRequest request) {
      return exchange.sendPermitRequest(address, request);
    }
  }

  /** Builds this gateway's peer updates and applies those of its peers. */
  private final class PeerSource implements PeerExchange.StateHandler {

    private final Map<String, Map<String, Integer>> pauseSensitiveLoadsByPeer = new HashMap<>();
    private final Map<String, Map<String, Integer>> heavyLoadsByPeer = new HashMap<>();

    private static EngineSpeed toProto(EngineEstimate estimate) {
      return EngineSpeed.newBuilder()
          .setTokenMillis(estimate.millisPerPrefillToken())
          .setPairMillis(estimate.millisPerMillionPairs())
          .setReadSamples(estimate.prefillSamples())
          .setStepMillis(estimate.decodeStepMillis())
          .setStepSamples(estimate.decodeStepSamples())
          .setReadingPauseMillis(estimate.prefillPauseMillis())
          .setPauseSamples(estimate.prefillPauseSamples())
          .build();
    }

    private static EngineEstimate fromProto(EngineSpeed speed) {
      return new EngineEstimate(
          speed.getTokenMillis(),
          speed.getPairMillis(),
          speed.getReadSamples(),
          speed.getStepMillis(),
          speed.getStepSamples(),
          speed.getReadingPauseMillis(),
          speed.getPauseSamples());
    }

    private void applyPeerLoads(String service, ServiceQueue queue) {
      queue.setPeerLoads(sum(pauseSensitiveLoadsByPeer, service), sum(heavyLoadsByPeer, service));
    }

    private static double sum(Map<String, Map<String, Integer>> loads, String service) {
      return loads.values().stream().mapToInt(map -> map.getOrDefault(service, 0)).sum()
          / THOUSANDTHS_PER_ENGINE;
    }

    @Override
    public void peerLost(String peer) {
      pauseSensitiveLoadsByPeer.remove(peer);
      heavyLoadsByPeer.remove(peer);
      forwarder
          .queues()
          .values()
          .forEach(
              queue -> {
                queue.estimator().ifPresent(estimator -> estimator.removePeer(peer));
                queue.fleetDemand().removePeer(peer);
              });
      state.allServers().forEach(server -> server.speed().removePeer(peer));
    }

    @Override
    public void describe(FleetNews.Builder update) {
      forwarder.drainChangedServers();
      long nowMillis = MonotonicClock.millis();
      state.allServers().stream()
          .map(server -> PeerSpeeds.withRatio(toProto(server), server, nowMillis))
          .filter(PeerSource::isWorthSending)
          .forEach(update::addOpenWork);
      forwarder
          .queues()
          .forEach(
              (service, queue) -> {
                update.putTightLoad(
                    service, (int) Math.round(queue.pauseSensitiveLoad() * THOUSANDTHS_PER_ENGINE));
                DemandExchange.describe(service, queue, update);
                update.putHeavyLoad(
                    service, (int) Math.round(queue.heavyLoad() * THOUSANDTHS_PER_ENGINE));
                queue
                    .estimator()
                    .ifPresent(
                        estimator ->
                            update.putEngineSpeeds(service, toProto(estimator.ownEstimate())));
              });
      prefixReads.drain().stream().map(PeerSource::toProto).forEach(update::addPrefixReads);
    }

    @Override
    public void describeEvidence(WorkChanges.Builder changes) {
      forwarder.promptParts().allEvidence().ifPresent(changes::setCrashEvidence);
    }

    @Override
    public void describeRepeatedEvidence(WorkChanges.Builder changes) {
      forwarder.promptParts().repeatedEvidence().ifPresent(changes::setCrashEvidence);
    }

    @Override
    public Optional<CrashEvidence> evidenceReceived(String peer, CrashEvidence evidence) {
      return forwarder.promptParts().received(evidence, peer);
    }

    @Override
    public void describeChanges(WorkChanges.Builder changes) {
      forwarder.drainChangedServers().stream()
          .flatMap(id -> Optional.ofNullable(state.server(id)).stream())
          .map(this::toProto)
          .forEach(changes::addOpenWork);
      prefixReads.drain().stream().map(PeerSource::toProto).forEach(changes::addPrefixReads);
      forwarder.promptParts().takeEvidence().ifPresent(changes::setCrashEvidence);
    }

    private OpenWork toProto(TrackedServer server) {
      TrackedServer.PeerLoad load = server.ownLoad(MonotonicClock.millis());
      Long leavingInstance = state.leavingInstance(server.entry().id());
      OpenWork.Builder work =
          OpenWork.newBuilder()
              .setServerId(server.entry().id())
              .setRequests(load.openRequests())
              .setReadMillis((int) Math.round(load.prefillMillis()))
              .setTightStreams(load.pauseSensitiveStreams())
              .setSentReadMillis(Math.round(server.sentPrefillMillis()))
              .setDecodePercent(
                  (int) Math.round(server.ownDecodeShare(load.receivedMillis()) * PERCENT));
      if (leavingInstance != null) {
        work.setLeavingLife(leavingInstance);
      }
      RateObservation rate =
          state.statedRates().latest(server.entry().id(), server.entry().startedMillis());
      long nowMillis = MonotonicClock.millis();
      if (rate != null
          && (rate.isLimited() || nowMillis - rate.observedMillis() <= RATE_END_REPORT_MILLIS)) {
        work.setStatedRate(StatedRateLimits.toProto(rate, nowMillis));
      }
      ColdState cold = state.coldStarts().toProto(server.entry().id(), nowMillis);
      if (cold != null) {
        work.setCold(cold);
      }
      RampUpState rampUp = state.rampUps().toProto(server.entry().id(), nowMillis);
      if (rampUp != null) {
        work.setRampUp(rampUp);
      }
      PeerSpeeds.statement(server, nowMillis).ifPresent(work::setSpeed);
      return work.build();
    }

    private static boolean isWorthSending(OpenWork work) {
      return work.getRequests() > 0
          || work.getSentReadMillis() > 0
          || work.hasLeavingLife()
          || work.hasStatedRate()
          || work.hasCold()
          || work.hasRampUp()
          || work.hasSpeed();
    }

    private static PrefixRead toProto(PrefixReads.Read read) {
      return PrefixRead.newBuilder()
          .setServerId(read.serverId())
          .setChainHash(read.chainHash())
          .setTokens(read.tokens())
          .build();
    }

    @Override
    public void updateReceived(FleetNews update) {
      long nowMillis = MonotonicClock.millis();
      String peer = update.getProcessId();
      state.allServers().forEach(server -> server.removePeer(peer));
      update.getOpenWorkList().forEach(work -> applyOpenWork(peer, work, nowMillis));
      pauseSensitiveLoadsByPeer.put(peer, update.getTightLoadMap());
      heavyLoadsByPeer.put(peer, update.getHeavyLoadMap());
      update
          .getEngineSpeedsMap()
          .forEach(
              (service, speed) ->
                  forwarder
                      .queue(service)
                      .estimator()
                      .ifPresent(estimator -> estimator.updatePeer(peer, fromProto(speed))));
      forwarder.queues().forEach(this::applyPeerLoads);
      DemandExchange.apply(update, forwarder.queues());
      update.getPrefixReadsList().forEach(this::applyPrefixRead);
    }

    @Override
    public void changesReceived(String peer, WorkChanges changes) {
      long nowMillis = MonotonicClock.millis();
      changes.getOpenWorkList().forEach(work -> applyOpenWork(peer, work, nowMillis));
      changes.getPrefixReadsList().forEach(this::applyPrefixRead);
    }

    private void applyOpenWork(String peer, OpenWork work, long nowMillis) {
      if (work.hasStatedRate()) {
        state.recordRate(
            work.getServerId(), StatedRateLimits.fromProto(work.getStatedRate(), nowMillis), peer);
      }
      if (work.hasCold()) {
        state.coldStarts().reported(work.getServerId(), work.getCold(), peer);
      }
      if (work.hasRampUp()) {
        state.rampUps().reported(work.getServerId(), work.getRampUp(), peer);
      }
      TrackedServer server = state.server(work.getServerId());
      if (server == null) {
        return;
      }
      PeerSpeeds.apply(peer, work, server, nowMillis);
      server.updatePeerLoad(
          peer,
          new TrackedServer.PeerLoad(
              work.getRequests(), work.getReadMillis(), work.getTightStreams(), nowMillis));
      server
          .decodeDemand()
          .updatePeer(peer, work.getDecodePercent() / PERCENT, work.getRequests(), nowMillis);
      double tokenMillis =
          forwarder
              .queue(server.entry().service())
              .estimator()
              .map(estimator -> estimator.timings().millisPerPrefillToken())
              .orElse(1.0);
      server.updatePeerSentPrefillMillis(
          peer, (double) work.getSentReadMillis(), tokenMillis, nowMillis);
      if (work.hasLeavingLife()) {
        state.recordLeaving(work.getServerId(), work.getLeavingLife(), peer);
      }
    }

    private void applyPrefixRead(PrefixRead read) {
      TrackedServer server = state.server(read.getServerId());
      if (server != null) {
        server.recordPeerPrefill(read.getChainHash(), read.getTokens());
      }
    }

    @Override
    public PublishedPosition asOf(PublishedTopic topic) {
      return state.asOf(topic);
    }

    @Override
    public PublishedPosition changedAt(PublishedTopic topic) {
      return state.changedAt(topic);
    }

    @Override
    public long configurationVersion() {
      return state.configuration().map(RouteConfiguration::version).orElse(0L);
    }

    @Override
    public List<PublishedItem> items(PublishedTopic topic) {
      return state.listing(topic);
    }

    @Override
    public void itemsReceived(
        PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf, String peer) {
      state.learned(topic, items, asOf, peer);
    }

    @Override
    public PublishedChanges changes(PublishedTopic topic, PublishedPosition after) {
      return state.changesAfter(topic, after);
    }

    @Override
    public void changesReceived(
        PublishedTopic topic, PublishedChanges changes, PublishedPosition asOf, String peer) {
      state.learned(topic, changes, asOf, peer);
    }

    @Override
    public boolean isLeaving() {
      return forwarder.isLeaving();
    }

    @Override
    public void gatewaysChanged() {
      state.allServers().forEach(server -> server.speed().peersAdded());
      forwarder.rateLimits().gatewaysChanged();
      forwarder.promptParts().gatewaysChanged();
    }

    @Override
    public SendPermitAnswer answer(String peer, SendPermitRequest request) {
      if (PromptPartQuarantine.isTrial(request)) {
        return forwarder.promptParts().answer(peer, request);
      }
      if (request.hasStatedRate()) {
        state.recordRate(
            request.getServerId(),
            StatedRateLimits.fromProto(request.getStatedRate(), MonotonicClock.millis()),
            peer);
      }
      if (request.hasCold()) {
        state.coldStarts().reported(request.getServerId(), request.getCold(), peer);
      }
      if (request.hasRampUp()) {
        state.rampUps().reported(request.getServerId(), request.getRampUp(), peer);
      }
      return forwarder.rateLimits().answer(request);
    }

    @Override
    public void answerReceived(SendPermitAnswer answer) {
      if (answer.getTrial()) {
        forwarder.trialAnswered(answer);
      } else {
        forwarder.rateLimits().answerReceived(answer);
      }
    }
  }
}
