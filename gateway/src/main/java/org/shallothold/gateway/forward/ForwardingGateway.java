package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.EngineEstimate;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.gateway.forward.caller.CallerListener;
import org.shallothold.gateway.forward.peer.PeerExchange;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.Transport;
import org.shallothold.wire.proto.EngineSpeed;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.WorkChanges;

/**
 * A gateway that forwards requests to backend servers directly. One event loop owns all of its
 * state; it lives as long as the process.
 */
public final class ForwardingGateway {

  private static final long MAINTENANCE_MILLIS = 500;
  private static final long ENGINE_REPORT_MILLIS = 5_000;
  // The platform needs two missed questions, a second apart, to stop sending new connections.
  private static final long ROTATION_MILLIS = 2_600;
  private static final long DRAIN_POLL_MILLIS = 50;
  // Answers that are still running are cut only just before the process would be killed.
  private static final double USED_PART_OF_SHUTDOWN = 0.93;
  private static final double THOUSANDTHS = 1_000;
  private static final String METRICS_PATH = "/metrics";

  private final ForwardOptions options;
  private final EventLoop eventLoop;
  private final StructuredLog log;
  private final ForwardMetrics metrics = ForwardMetrics.create();
  private final ForwardGauges gauges = ForwardGauges.in(metrics.registry());
  private final RoutingState state;
  private final PrefixReads prefixReads = new PrefixReads();
  private final Forwarder forwarder;
  private final CallerListener callers;
  private @Nullable PeerExchange peers;

  private ForwardingGateway(
      ForwardOptions options,
      EventLoop eventLoop,
      CallerListener callers,
      HeaderTranslation translation,
      PublishedDecoder decoder,
      StructuredLog log) {
    this.options = options;
    this.eventLoop = eventLoop;
    this.callers = callers;
    this.log = log;
    this.state = new RoutingState(eventLoop, decoder, translation, log);
    this.forwarder =
        new Forwarder(
            options, eventLoop, state, translation, log, metrics, this::gateways, prefixReads);
    forwarder.onWorkChanged(this::announceChanges);
  }

  /**
   * Starts all listeners and the reading of the platform.
   *
   * @throws IllegalStateException if an address can't be bound
   */
  public static ForwardingGateway start(
      ForwardOptions options,
      HeaderTranslation translation,
      PublishedDecoder decoder,
      PublishedSource source,
      StructuredLog log) {
    EventLoopGroup group = Transport.group("forward", 1);
    // First of all: after a restart, callers that meet no listener fail and don't come back.
    CallerListener callers = CallerListener.bind(group, options.callers());
    ForwardingGateway gateway =
        new ForwardingGateway(options, group.next(), callers, translation, decoder, log);
    gateway.listen(group, source);
    log.add(
        LogLine.of("started")
            .with("failure_domain", options.failureDomain())
            .with("callers", options.callers().toString()));
    return gateway;
  }

  /** Returns the port that callers connect to. */
  public int callersPort() {
    return callers.port();
  }

  /**
   * Leaves: no new callers, whole answers for those that are being served. Blocks until all have
   * ended or the time to shut down is nearly over.
   *
   * @return whether no request was cut
   */
  public boolean drain() {
    long begun = Clock.millis();
    long end = begun + (long) (options.shutdownMillis() * USED_PART_OF_SHUTDOWN);
    log.add(LogLine.of("stopping").with("open_requests", onLoop(forwarder::openRequests)));
    eventLoop.execute(forwarder::leave);
    boolean idleClosed = false;
    while (Clock.millis() < end) {
      boolean outOfRotation = Clock.millis() - begun >= ROTATION_MILLIS;
      if (outOfRotation && !idleClosed) {
        idleClosed = true;
        onLoop(this::stopTaking);
      }
      if (outOfRotation && onLoop(this::openWork) == 0) {
        break;
      }
      pause();
    }
    int cut = onLoop(forwarder::openRequests);
    log.add(LogLine.of("stopped").with("requests_cut", cut));
    return cut == 0;
  }

  private void listen(EventLoopGroup group, PublishedSource source) {
    if (options.peers() != null) {
      peers =
          PeerExchange.start(
              eventLoop,
              options.processId(),
              options.peers(),
              options.seeds(),
              new PeerSource(),
              log);
    }
    StatusListener.start(group, options.readiness(), this::readiness);
    if (options.metrics() != null) {
      StatusListener.start(group, options.metrics(), this::metricsText);
    }
    source.start(eventLoop, state);
    callers.serve(forwarder);
    eventLoop.scheduleAtFixedRate(
        state::maintain, MAINTENANCE_MILLIS, MAINTENANCE_MILLIS, TimeUnit.MILLISECONDS);
    eventLoop.scheduleAtFixedRate(
        this::reportEngines, ENGINE_REPORT_MILLIS, ENGINE_REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reportEngines() {
    forwarder.queues().values().forEach(queue -> queue.describeEngines().ifPresent(log::add));
  }

  private StatusListener.Answer readiness(String path) {
    if (!path.equals(options.readinessPath())) {
      return StatusListener.Answer.notFound();
    }
    boolean ready = state.isServing() && !forwarder.isLeaving();
    HttpResponseStatus status =
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return new StatusListener.Answer(status.code(), "");
  }

  private StatusListener.Answer metricsText(String path) {
    if (!path.equals(METRICS_PATH)) {
      return StatusListener.Answer.notFound();
    }
    long now = Clock.millis();
    gauges.read(state, now);
    gauges.read(forwarder, now);
    gauges.read(
        gateways(),
        peers == null ? 0 : peers.oldestUpdateAgeMillis(),
        callers.connections(),
        log.droppedLines());
    return new StatusListener.Answer(HttpResponseStatus.OK.code(), metrics.text());
  }

  private int gateways() {
    return peers == null ? 1 : peers.gatewayCount();
  }

  private void announceChanges() {
    if (peers != null) {
      peers.announceChanges();
    }
  }

  private int openWork() {
    return forwarder.openRequests() + (int) callers.busyConnections();
  }

  /**
   * Takes no more connections and requests. While other gateways leave too, the platform may go on
   * sending callers here; without this end, the last of them would be cut.
   *
   * @return the requests that go on
   */
  int stopTaking() {
    forwarder.refuseNew();
    callers.stopAccepting();
    callers.closeIdle();
    return forwarder.openRequests();
  }

  private int onLoop(java.util.function.IntSupplier supplier) {
    CountDownLatch done = new CountDownLatch(1);
    int[] result = new int[1];
    eventLoop.execute(
        () -> {
          result[0] = supplier.getAsInt();
          done.countDown();
        });
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return result[0];
  }

  private static void pause() {
    try {
      Thread.sleep(DRAIN_POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Joins the exchange with peers to the state of this gateway. */
  private final class PeerSource implements PeerExchange.StateHandler {

    private final Map<String, Map<String, Integer>> tightLoads = new HashMap<>();
    private final Map<String, Map<String, Integer>> heavyLoads = new HashMap<>();

    private static EngineSpeed wire(EngineEstimate estimate) {
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

    private static EngineEstimate estimate(EngineSpeed speed) {
      return new EngineEstimate(
          speed.getTokenMillis(),
          speed.getPairMillis(),
          speed.getReadSamples(),
          speed.getStepMillis(),
          speed.getStepSamples(),
          speed.getReadingPauseMillis(),
          speed.getPauseSamples());
    }

    private void sumLoads(String service, ServiceQueue queue) {
      queue.peersLoad(sum(tightLoads, service), sum(heavyLoads, service));
    }

    private static double sum(Map<String, Map<String, Integer>> loads, String service) {
      return loads.values().stream().mapToInt(map -> map.getOrDefault(service, 0)).sum()
          / THOUSANDTHS;
    }

    @Override
    public void peerLost(String peer) {
      tightLoads.remove(peer);
      heavyLoads.remove(peer);
      forwarder
          .queues()
          .values()
          .forEach(queue -> queue.estimator().ifPresent(estimator -> estimator.removePeer(peer)));
    }

    @Override
    public void describe(FleetNews.Builder news) {
      forwarder.takeChangedServers();
      state.allServers().stream()
          .map(this::wire)
          .filter(PeerSource::isWorthTelling)
          .forEach(news::addOpenWork);
      forwarder
          .queues()
          .forEach(
              (service, queue) -> {
                news.putTightLoad(service, (int) Math.round(queue.tightLoad() * THOUSANDTHS));
                news.putHeavyLoad(service, (int) Math.round(queue.heavyLoad() * THOUSANDTHS));
                queue
                    .estimator()
                    .ifPresent(
                        estimator -> news.putEngineSpeeds(service, wire(estimator.ownEstimate())));
              });
      prefixReads.takeAll().stream().map(PeerSource::wire).forEach(news::addPrefixReads);
    }

    @Override
    public void describeChanges(WorkChanges.Builder changes) {
      forwarder.takeChangedServers().stream()
          .flatMap(id -> Optional.ofNullable(state.server(id)).stream())
          .map(this::wire)
          .forEach(changes::addOpenWork);
      prefixReads.takeAll().stream().map(PeerSource::wire).forEach(changes::addPrefixReads);
    }

    private OpenWork wire(TrackedServer server) {
      TrackedServer.PeerLoad load = server.ownLoad(Clock.millis());
      Long leavingLife = state.leavingLife(server.entry().id());
      OpenWork.Builder work =
          OpenWork.newBuilder()
              .setServerId(server.entry().id())
              .setRequests(load.openRequests())
              .setReadMillis((int) Math.round(load.prefillMillis()))
              .setTightStreams(load.pauseSensitiveStreams())
              .setSentReadMillis(Math.round(server.sentPrefillMillis()));
      if (leavingLife != null) {
        work.setLeavingLife(leavingLife);
      }
      return work.build();
    }

    private static boolean isWorthTelling(OpenWork work) {
      return work.getRequests() > 0 || work.getSentReadMillis() > 0 || work.hasLeavingLife();
    }

    private static PrefixRead wire(PrefixReads.Read read) {
      return PrefixRead.newBuilder()
          .setServerId(read.serverId())
          .setChainHash(read.chainHash())
          .setTokens(read.tokens())
          .build();
    }

    @Override
    public void updateReceived(FleetNews news) {
      long now = Clock.millis();
      String peer = news.getProcessId();
      state.allServers().forEach(server -> server.removePeer(peer));
      news.getOpenWorkList().forEach(work -> takeWork(peer, work, now));
      tightLoads.put(peer, news.getTightLoadMap());
      heavyLoads.put(peer, news.getHeavyLoadMap());
      news.getEngineSpeedsMap()
          .forEach(
              (service, speed) ->
                  forwarder
                      .queue(service)
                      .estimator()
                      .ifPresent(estimator -> estimator.updatePeer(peer, estimate(speed))));
      forwarder.queues().forEach(this::sumLoads);
      news.getPrefixReadsList().forEach(this::takeRead);
    }

    @Override
    public void changesReceived(String peer, WorkChanges changes) {
      long now = Clock.millis();
      changes.getOpenWorkList().forEach(work -> takeWork(peer, work, now));
      changes.getPrefixReadsList().forEach(this::takeRead);
    }

    private void takeWork(String peer, OpenWork work, long now) {
      TrackedServer server = state.server(work.getServerId());
      if (server == null) {
        return;
      }
      server.updatePeerLoad(
          peer,
          new TrackedServer.PeerLoad(
              work.getRequests(), work.getReadMillis(), work.getTightStreams(), now));
      double tokenMillis =
          forwarder
              .queue(server.entry().service())
              .estimator()
              .map(estimator -> estimator.timings().millisPerPrefillToken())
              .orElse(1.0);
      server.updatePeerSentPrefillMillis(peer, (double) work.getSentReadMillis(), tokenMillis, now);
      if (work.hasLeavingLife()) {
        state.leaving(work.getServerId(), work.getLeavingLife(), peer);
      }
    }

    private void takeRead(PrefixRead read) {
      TrackedServer server = state.server(read.getServerId());
      if (server != null) {
        server.recordPeerPrefill(read.getChainHash(), read.getTokens());
      }
    }

    @Override
    public long asOfRevision(PublishedTopic topic) {
      return state.asOf(topic);
    }

    @Override
    public long changedAtRevision(PublishedTopic topic) {
      return state.changedAt(topic);
    }

    @Override
    public List<PublishedItem> items(PublishedTopic topic) {
      return state.items(topic);
    }

    @Override
    public void itemsReceived(
        PublishedTopic topic, List<PublishedItem> items, long asOfRevision, String peer) {
      state.learned(topic, items, asOfRevision, peer);
    }

    @Override
    public boolean isLeaving() {
      return forwarder.isLeaving();
    }
  }
}
