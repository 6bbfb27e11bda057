package org.shallothold.runtime.sync;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.duty.Duty;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.runtime.platform.EntryCodec;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.ConfigurationAnnouncement;
import org.shallothold.wire.proto.ConfigurationEntries;
import org.shallothold.wire.proto.ConfigurationRequest;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/**
 * Keeps the configuration of a process current: reads the platform, and passes entries on between
 * peers. One thread owns the history; another reads the platform. Made once per process; the public
 * methods may be called from any thread and don't block.
 */
public final class ConfigurationSync implements AutoCloseable {

  private static final int RING_CAPACITY = 1_024;
  private static final long TICK_MILLIS = 250;
  // Far below the largest frame, so that an answer is never refused for its length: one entry has
  // at most 1 MB.
  private static final int ANSWER_BYTES = 1024 * 1024;

  private final ProcessIdentity identity;
  private final SyncReport report;

  private final ConfigurationHistory history = ConfigurationHistory.create();
  private final PeerPull pull = new PeerPull();
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<MembershipView>> memberListeners = new CopyOnWriteArrayList<>();

  private volatile Configuration current = Configuration.EMPTY;
  private volatile MembershipView members = MembershipView.EMPTY;
  private volatile long lastPosition;
  private volatile long newestPeerVersion;

  private final Duty<SyncEvent> duty;
  private final PlatformReader reader;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("configuration-timer").factory());

  private ConfigurationSync(
      ProcessIdentity identity,
      ConfigurationSource source,
      AuditOutput audit,
      Metrics metrics,
      SyncOptions options) {
    this.identity = identity;
    this.report = new SyncReport(audit, metrics);
    this.duty = Duty.start("configuration", RING_CAPACITY, this::handle);
    this.reader =
        new PlatformReader(
            identity.processId(),
            source,
            options,
            report,
            () -> lastPosition,
            this::applyFromReader,
            this::takeMembers);
  }

  /** Starts to read the platform. */
  public static ConfigurationSync start(
      ProcessIdentity identity,
      ConfigurationSource source,
      AuditOutput audit,
      Metrics metrics,
      SyncOptions options) {
    ConfigurationSync sync = new ConfigurationSync(identity, source, audit, metrics, options);
    sync.reader.start();
    sync.duty.offerEvery(sync.timer, TICK_MILLIS, new SyncEvent.Tick());
    return sync;
  }

  /** Returns the newest accepted configuration. */
  public Configuration current() {
    return current;
  }

  /**
   * Returns whether a connected peer of the same history has named a newer version that has not
   * arrived yet. A process without any configuration is not behind by this, only not configured.
   */
  public boolean isBehind() {
    return newestPeerVersion > current.version().number();
  }

  /**
   * Returns whether the platform is still followed; false once it has shown another history than
   * the one held, until the process is restarted.
   */
  public boolean isFollowingPlatform() {
    return reader.isFollowing();
  }

  /** Returns the membership list as last read. */
  public MembershipView members() {
    return members;
  }

  /** Returns what this process says of itself at the start of a connection. */
  public Hello hello(boolean leaving) {
    return Hello.newBuilder()
        .setProcessId(identity.processId())
        .setRole(identity.role())
        .setIncarnation(identity.incarnation())
        .setFailureDomain(identity.failureDomain())
        .setServerId(identity.serverId())
        .setVersion(WireVersions.toWire(current.version()))
        .setLeaving(leaving)
        .build();
  }

  /** Adds a listener, called on the configuration thread after each accepted version. */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /** Adds a listener, called on the reader thread after each read of the membership list. */
  public void onMembers(Consumer<MembershipView> listener) {
    memberListeners.add(listener);
  }

  /** Notes a new connection and the version that its peer holds; an operator's is no peer. */
  public void connected(PeerConnection connection, Hello hello) {
    if (hello.getRole() != Role.ROLE_OPERATOR) {
      duty.offer(
          new SyncEvent.PeerVersion(connection, WireVersions.fromWire(hello.getVersion()), true));
    }
  }

  /** Notes a version that a peer named in any later message. */
  public void observe(PeerConnection connection, ConfigurationVersion version) {
    ConfigurationVersion ours = current.version();
    if (version.number() > ours.number() || ours.contradicts(version)) {
      duty.offer(new SyncEvent.PeerVersion(connection, version, false));
    }
  }

  /** Notes a closed connection. */
  public void disconnected(PeerConnection connection) {
    duty.offer(new SyncEvent.PeerGone(connection));
  }

  /** Takes a configuration message; returns false if the message is of another kind. */
  public boolean received(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case CONFIGURATION_ANNOUNCEMENT ->
          observe(
              connection,
              WireVersions.fromWire(envelope.getConfigurationAnnouncement().getVersion()));
      case CONFIGURATION_REQUEST ->
          duty.offer(
              new SyncEvent.PeerRequest(
                  connection, envelope.getConfigurationRequest().getAfterPosition()));
      case CONFIGURATION_ENTRIES -> {
        ConfigurationEntries message = envelope.getConfigurationEntries();
        duty.offer(
            new SyncEvent.PeerEntries(connection, WireEntries.fromWire(message), base(message)));
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() {
    timer.shutdownNow();
    reader.close();
    duty.close();
  }

  private void handle(SyncEvent event) {
    switch (event) {
      case SyncEvent.PlatformEntries(var entries, var applied) ->
          takeFromPlatform(entries, applied);
      case SyncEvent.PeerEntries entries -> takeFromPeer(entries);
      case SyncEvent.PeerVersion(var connection, var version, boolean isNew) ->
          peerVersion(connection, version, isNew);
      case SyncEvent.PeerRequest(var connection, long afterPosition) ->
          answer(connection, afterPosition);
      case SyncEvent.PeerGone(PeerConnection connection) -> pull.gone(connection);
      case SyncEvent.Tick tick -> pull.prune();
    }
    askPeer();
  }

  private void takeFromPlatform(
      List<ConfigurationEntry> entries, CompletableFuture<SyncEvent.Applied> applied) {
    try {
      applied.complete(
          apply(
              entries,
              "platform",
              ConfigurationHistory::apply,
              place -> report.historyConflict("platform", place, current.version())));
    } catch (RuntimeException e) {
      // The reader waits for this and must not wait for ever if a listener fails.
      applied.completeExceptionally(e);
      throw e;
    }
  }

  private void peerConflict(PeerConnection connection, String place) {
    if (pull.markConflicting(connection)) {
      Hello hello = connection.remoteHello();
      String name = hello == null ? "" : " " + hello.getProcessId();
      report.historyConflict("peer" + name, place, current.version());
    }
  }

  private void peerVersion(PeerConnection connection, ConfigurationVersion version, boolean isNew) {
    if (!connection.isOpen()) {
      return;
    }
    pull.named(connection, version);
    if (history.contradicts(version)) {
      peerConflict(connection, "version " + version.number());
    } else if (isNew && version.number() < current.version().number()) {
      // Its hello may have been sent before ours arrived, so tell it.
      connection.send(announcement());
    }
  }

  private void askPeer() {
    newestPeerVersion = pull.newestVersion();
    if (isBehind()) {
      pull.next(current.version(), nowMillis())
          .ifPresent(
              peer ->
                  peer.send(
                      Envelope.newBuilder()
                          .setConfigurationRequest(
                              ConfigurationRequest.newBuilder()
                                  .setAfterPosition(history.lastPosition()))
                          .build()));
    }
  }

  private void answer(PeerConnection connection, long afterPosition) {
    ConfigurationEntries.Builder answer = ConfigurationEntries.newBuilder();
    List<ConfigurationEntry> entries =
        history.entriesAfter(afterPosition).orElseGet(this::snapshotEntries);
    if (!entries.isEmpty() && entries.getFirst().position() == afterPosition + 1) {
      history
          .versionAt(afterPosition)
          .ifPresent(version -> answer.setBase(WireVersions.toWire(version)));
    }
    int bytes = 0;
    for (ConfigurationEntry entry : entries) {
      byte[] body = entry.body();
      bytes += body.length;
      if (bytes > ANSWER_BYTES && answer.getEntriesCount() > 0) {
        break;
      }
      answer.addEntries(
          org.shallothold.wire.proto.ConfigurationEntry.newBuilder()
              .setPosition(entry.position())
              .setKind(entry.kind())
              .setBody(ByteString.copyFrom(body)));
    }
    connection.send(Envelope.newBuilder().setConfigurationEntries(answer).build());
  }

  private List<ConfigurationEntry> snapshotEntries() {
    byte[] body = EntryCodec.snapshotBody(current, history.lastPosition());
    return List.of(EntryCodec.decode(history.lastPosition(), EntryCodec.SNAPSHOT, body));
  }

  private void takeFromPeer(SyncEvent.PeerEntries message) {
    PeerConnection connection = message.connection();
    if (!pull.isPeer(connection) || pull.isConflicting(connection)) {
      return;
    }
    SyncEvent.Applied applied = new SyncEvent.Applied(false, false);
    if (!message.entries().isEmpty()) {
      long before = message.entries().getFirst().position() - 1;
      ConfigurationVersion base = message.base();
      if (base != null
          && history.versionAt(before).filter(ours -> !ours.equals(base)).isPresent()) {
        peerConflict(connection, "position " + before);
      } else {
        applied =
            apply(
                message.entries(),
                "peer",
                ConfigurationHistory::applyFromPeer,
                place -> peerConflict(connection, place));
      }
    }
    pull.answered(connection, applied.progress(), nowMillis());
  }

  private SyncEvent.Applied apply(
      List<ConfigurationEntry> entries,
      String source,
      BiFunction<ConfigurationHistory, ConfigurationEntry, PatchOutcome> application,
      Consumer<String> onConflict) {
    Configuration before = current;
    long positionBefore = history.lastPosition();
    boolean contradiction = false;
    for (ConfigurationEntry entry : entries) {
      PatchOutcome outcome = application.apply(history, entry);
      record(entry, outcome, source);
      if (outcome instanceof PatchOutcome.Contradiction(long position)) {
        onConflict.accept("position " + position);
        contradiction = true;
      }
      if (contradiction || outcome instanceof PatchOutcome.Gap) {
        break;
      }
    }
    lastPosition = history.lastPosition();
    if (!current.version().equals(before.version())) {
      pull.peers().forEach(peer -> peer.send(announcement()));
      listeners.forEach(listener -> listener.accept(current));
    }
    return new SyncEvent.Applied(lastPosition > positionBefore, contradiction);
  }

  private void record(ConfigurationEntry entry, PatchOutcome outcome, String source) {
    switch (outcome) {
      case PatchOutcome.Accepted(var configuration, var patch) -> {
        report.accepted(entry, current, configuration, patch, source);
        current = configuration;
      }
      case PatchOutcome.Started(var configuration) -> {
        report.started(entry, configuration, source);
        current = configuration;
      }
      case PatchOutcome.Conflict conflict ->
          report.conflictingPatch(entry, conflict, current.version());
      case PatchOutcome.Invalid(var problems) -> report.invalid(entry, problems);
      case PatchOutcome.Contradiction contradiction -> {}
      case PatchOutcome.Gap gap -> {}
      case PatchOutcome.Known known -> {}
    }
  }

  private Envelope announcement() {
    return Envelope.newBuilder()
        .setConfigurationAnnouncement(
            ConfigurationAnnouncement.newBuilder()
                .setVersion(WireVersions.toWire(current.version())))
        .build();
  }

  private static @Nullable ConfigurationVersion base(ConfigurationEntries message) {
    return message.hasBase() ? WireVersions.fromWire(message.getBase()) : null;
  }

  /** Hands entries to the configuration thread and waits until they are applied. */
  private SyncEvent.Applied applyFromReader(List<ConfigurationEntry> entries) {
    CompletableFuture<SyncEvent.Applied> applied = new CompletableFuture<>();
    duty.put(new SyncEvent.PlatformEntries(entries, applied));
    try {
      return applied.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException("entries could not be applied", e.getCause());
    }
    return new SyncEvent.Applied(false, false);
  }

  private void takeMembers(MembershipView view) {
    members = view;
    memberListeners.forEach(listener -> listener.accept(view));
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
