package org.shallothold.experiment.capacity;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.LoadReport;
import org.shallothold.wire.proto.Role;

/**
 * Connections that look like gateways to a sidecar or like sidecars to a gateway, all in this
 * process, so that one measured process can have hundreds of peers. Thread-safe.
 */
final class SyntheticPeers implements AutoCloseable {

  private static final int INCARNATION_BYTES = 16;
  private static final long REPORT_MILLIS = 1_000;

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final List<AutoCloseable> opened = new ArrayList<>();
  private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger connected = new AtomicInteger();
  private final AtomicLong frames = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();

  private final PeerListener listener =
      new PeerListener() {
        @Override
        public void connected(PeerConnection connection, Hello hello) {
          connections.add(connection);
          connected.incrementAndGet();
        }

        @Override
        public void received(PeerConnection connection, Envelope envelope) {
          frames.incrementAndGet();
          bytes.addAndGet(envelope.getSerializedSize());
        }

        @Override
        public void disconnected(PeerConnection connection) {
          connections.remove(connection);
          connected.decrementAndGet();
        }
      };

  /** Returns peers that have no connection yet, and report a load each second as sidecars do. */
  static SyntheticPeers create() {
    SyntheticPeers peers = new SyntheticPeers();
    var unused =
        peers.group.scheduleAtFixedRate(
            peers::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    return peers;
  }

  /** Connects one more gateway to a sidecar. */
  void addGateway(InetSocketAddress sidecar, int number) {
    Hello hello = hello("synthetic-gateway-" + number, Role.ROLE_GATEWAY, number, "");
    opened.add(
        PeerClient.start(group, sidecar, ConnectionLimits.DEFAULT, () -> hello, listener, null));
  }

  /** Starts to listen as the sidecar of a server and returns the port. */
  int addSidecar(String serverId, int number) {
    Hello hello = hello("synthetic-sidecar-" + number, Role.ROLE_SIDECAR, number, serverId);
    PeerServer server =
        PeerServer.bind(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            ConnectionLimits.DEFAULT,
            () -> hello,
            listener,
            null);
    opened.add(server);
    return server.port();
  }

  int connected() {
    return connected.get();
  }

  /** Returns the messages received, without hellos and heartbeats. */
  long frames() {
    return frames.get();
  }

  /** Returns the bytes of the messages received, without framing and headers. */
  long bytes() {
    return bytes.get();
  }

  @Override
  public void close() {
    for (AutoCloseable item : opened) {
      try {
        item.close();
      } catch (Exception e) {
        throw new IllegalStateException("can't close a connection", e);
      }
    }
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void report() {
    Envelope report =
        Envelope.newBuilder()
            .setLoadReport(
                LoadReport.newBuilder()
                    .setRunning(4)
                    .setMaxRunning(8)
                    .addAllWaitingByTier(List.of(1, 0, 0, 2))
                    .setTokenIntervalMicros(27_000)
                    .setEngineRunning(4))
            .build();
    connections.stream()
        .filter(SyntheticPeers::toGateway)
        .forEach(connection -> connection.send(report));
  }

  private static boolean toGateway(PeerConnection connection) {
    Hello remote = connection.remoteHello();
    return remote != null && remote.getRole() == Role.ROLE_GATEWAY;
  }

  private static Hello hello(String id, Role role, int number, String serverId) {
    ByteBuffer incarnation = ByteBuffer.allocate(INCARNATION_BYTES).putInt(number + 1);
    return Hello.newBuilder()
        .setProcessId(id)
        .setRole(role)
        .setIncarnation(ByteString.copyFrom(incarnation.array()))
        .setFailureDomain("hopper-hall")
        .setServerId(serverId)
        .build();
  }
}
