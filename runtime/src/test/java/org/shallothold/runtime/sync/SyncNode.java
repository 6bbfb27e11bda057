package org.shallothold.runtime.sync;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.shallothold.core.audit.AuditEvent;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/** A process with nothing but its configuration, for tests over loopback. */
final class SyncNode implements AutoCloseable {

  static final long PATIENCE_SECONDS = 60;
  private static final SyncOptions QUICK = new SyncOptions(3, 200, 200, 100);

  private static final EventLoopGroup MUTE_GROUP =
      new NioEventLoopGroup(1, Thread.ofPlatform().daemon().factory());

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final AuditOutput audit =
      AuditOutput.to(new PrintStream(OutputStream.nullOutputStream()), "test");
  private final List<PeerClient> clients = new ArrayList<>();
  private final ConfigurationSync sync;
  private final PeerServer server;
  private final PeerListener listener;

  SyncNode(String id, ConfigurationSource source) {
    ProcessIdentity identity = ProcessIdentity.create(id, Role.ROLE_GATEWAY, "hopper-hall", "");
    sync = ConfigurationSync.start(identity, source, audit, Metrics.create(), QUICK);
    listener =
        new PeerListener() {
          @Override
          public void connected(PeerConnection connection, Hello hello) {
            sync.connected(connection, hello);
          }

          @Override
          public void received(PeerConnection connection, Envelope envelope) {
            sync.received(connection, envelope);
          }

          @Override
          public void disconnected(PeerConnection connection) {
            sync.disconnected(connection);
          }
        };
    server =
        PeerServer.bind(group, address(0), ConnectionLimits.DEFAULT, this::hello, listener, null);
  }

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private Hello hello() {
    return sync.hello(false);
  }

  void connectTo(SyncNode other) {
    connectTo(other.server.port());
  }

  void connectTo(int port) {
    clients.add(
        PeerClient.start(
            group, address(port), ConnectionLimits.DEFAULT, this::hello, listener, null));
  }

  /**
   * Returns a server that says hello and nothing more; all such servers share one daemon thread.
   */
  static PeerServer serveMute(Hello hello) {
    PeerListener deaf =
        new PeerListener() {
          @Override
          public void connected(PeerConnection connection, Hello from) {}

          @Override
          public void received(PeerConnection connection, Envelope envelope) {}

          @Override
          public void disconnected(PeerConnection connection) {}
        };
    return PeerServer.bind(
        MUTE_GROUP, address(0), ConnectionLimits.DEFAULT, () -> hello, deaf, null);
  }

  ConfigurationSync sync() {
    return sync;
  }

  long version() {
    return sync.current().version().number();
  }

  List<AuditEvent> events(String action) {
    return audit.trail().events().stream().filter(event -> event.action().equals(action)).toList();
  }

  /** Waits until something holds; the bound is only there so that a broken build ends. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("never happened: " + what);
      }
      Thread.sleep(5);
    }
  }

  void awaitVersion(long number) throws InterruptedException {
    await("version " + number, () -> version() == number);
  }

  void awaitEvent(String action) throws InterruptedException {
    await(action, () -> !events(action).isEmpty());
  }

  @Override
  public void close() {
    clients.forEach(PeerClient::close);
    server.close();
    sync.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
