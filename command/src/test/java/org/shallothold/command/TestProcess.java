package org.shallothold.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.http.SingleUseHttpClient;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.operator.OperatorEndpoint;
import org.shallothold.runtime.platform.HttpConfigurationSource;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.runtime.sync.SyncOptions;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/** A process that reads the platform and answers operators, and does nothing else. */
final class TestProcess implements AutoCloseable {

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final AuditOutput audit;
  private final ConfigurationSync sync;
  private final OperatorEndpoint endpoint;
  private final PeerServer server;

  TestProcess(String id, String platform, @Nullable SslContext tls) {
    ProcessIdentity identity = ProcessIdentity.create(id, Role.ROLE_SIDECAR, "quay-shed", id);
    audit = AuditOutput.to(new PrintStream(OutputStream.nullOutputStream()), id);
    sync =
        ConfigurationSync.start(
            identity,
            HttpConfigurationSource.of(
                URI.create(platform), SingleUseHttpClient.of(HttpClient::newHttpClient)),
            audit,
            Metrics.create(),
            SyncOptions.DEFAULT);
    endpoint =
        OperatorEndpoint.of(
            identity,
            audit,
            () -> sync.current().version(),
            () -> false,
            () -> new OperatorEndpoint.Load(3, 5),
            JsonNodeFactory.instance::objectNode,
            request ->
                request.equals("r-1")
                    ? Optional.of(JsonNodeFactory.instance.objectNode().put("verdict", "not_run"))
                    : Optional.empty());
    server =
        PeerServer.bind(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            ConnectionLimits.DEFAULT,
            () -> sync.hello(false),
            listener(),
            tls);
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  /** Waits until the process has recorded a number of events, one for each published entry. */
  void awaitEvents(int number) throws InterruptedException {
    for (int tries = 0; tries < 6_000; tries++) {
      if (audit.trail().events().size() == number) {
        return;
      }
      Thread.sleep(5);
    }
    throw new AssertionError("event " + number + " never came");
  }

  private PeerListener listener() {
    return new PeerListener() {
      @Override
      public void connected(PeerConnection connection, Hello hello) {
        sync.connected(connection, hello);
      }

      @Override
      public void received(PeerConnection connection, Envelope envelope) {
        if (!sync.received(connection, envelope)) {
          endpoint.received(connection, envelope);
        }
      }

      @Override
      public void disconnected(PeerConnection connection) {
        sync.disconnected(connection);
      }
    };
  }

  @Override
  public void close() {
    server.close();
    sync.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
