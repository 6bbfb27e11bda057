package org.shallothold.gateway;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.Finished;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Refused;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.ServiceAnswer;
import org.shallothold.wire.proto.Started;
import org.shallothold.wire.proto.Submit;
import org.shallothold.wire.proto.Tokens;
import org.shallothold.wire.proto.VerdictKind;

/** A fake sidecar that sends scripted frames. Its state may be read by any thread. */
final class FakeSidecar implements PeerListener, AutoCloseable {

  private final String serverId;
  private final Consumer<Arrival> onSubmit;
  private final PeerServer server;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  final AtomicReference<CountDownLatch> frozen = new AtomicReference<>(new CountDownLatch(0));
  final List<Envelope> received = new CopyOnWriteArrayList<>();
  final List<PeerConnection> connections = new CopyOnWriteArrayList<>();
  volatile Consumer<Arrival> onCancel = arrival -> {};
  volatile Consumer<Call> onCall = call -> {};

  FakeSidecar(String serverId, ConnectionLimits limits, Consumer<Arrival> onSubmit) {
    this.serverId = serverId;
    this.onSubmit = onSubmit;
    this.server =
        PeerServer.bind(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            limits,
            this::hello,
            this,
            null);
  }

  /** A message about a ticket. */
  record Call(FakeSidecar sidecar, PeerConnection connection, Envelope envelope) {}

  /** One submission, or the cancel of one, and the frames that may answer it. */
  record Arrival(FakeSidecar sidecar, PeerConnection connection, Attempt attempt, Submit submit) {

    int resumed() {
      return submit.getCompletion().getResumeTokensCount();
    }

    Arrival withAttempt(Attempt other) {
      return new Arrival(sidecar, connection, other, submit);
    }

    Arrival over(PeerConnection other) {
      return new Arrival(sidecar, other, attempt, submit);
    }

    void started() {
      send(Envelope.newBuilder().setStarted(Started.newBuilder().setAttempt(attempt)));
    }

    void tokens(int offset, String letters) {
      Tokens.Builder frame = Tokens.newBuilder().setAttempt(attempt).setOffset(offset);
      letters.chars().forEach(letter -> frame.addTokens(Character.toString(letter)));
      send(Envelope.newBuilder().setTokens(frame));
    }

    void finished(FinishKind kind, int count) {
      send(
          Envelope.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setAttempt(attempt)
                      .setKind(kind)
                      .setTokenCount(count)
                      .setFinishReason("stop")));
    }

    void refused(VerdictKind verdict, String reason, long retryAfterMillis) {
      send(
          Envelope.newBuilder()
              .setRefused(
                  Refused.newBuilder()
                      .setAttempt(attempt)
                      .setVerdict(verdict)
                      .setReasonCode(reason)
                      .setRetryAfterMillis(retryAfterMillis)));
    }

    void answered(int status, String body) {
      send(
          Envelope.newBuilder()
              .setServiceAnswer(
                  ServiceAnswer.newBuilder()
                      .setAttempt(attempt)
                      .setStatus(status)
                      .setBody(ByteString.copyFromUtf8(body))));
    }

    private void send(Envelope.Builder envelope) {
      connection.send(envelope.build());
    }
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  String serverId() {
    return serverId;
  }

  long count(Envelope.MessageCase kind) {
    return received.stream().filter(envelope -> envelope.getMessageCase() == kind).count();
  }

  /** Blocks the event loop until {@link #frozen} is counted down. */
  void block() {
    group.next().execute(this::waitWhileFrozen);
  }

  private void waitWhileFrozen() {
    try {
      frozen.get().await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setProcessId(serverId)
        .setRole(Role.ROLE_SIDECAR)
        .setServerId(serverId)
        .setIncarnation(ByteString.copyFromUtf8("incarnation-" + System.identityHashCode(this)))
        .build();
  }

  @Override
  public void connected(PeerConnection connection, Hello hello) {
    connections.add(connection);
  }

  @Override
  public void received(PeerConnection connection, Envelope envelope) {
    received.add(envelope);
    switch (envelope.getMessageCase()) {
      case SUBMIT -> {
        Submit submit = envelope.getSubmit();
        onSubmit.accept(new Arrival(this, connection, submit.getAttempt(), submit));
      }
      case CANCEL ->
          onCancel.accept(
              new Arrival(
                  this,
                  connection,
                  envelope.getCancel().getAttempt(),
                  Submit.getDefaultInstance()));
      case TICKET_REQUEST, TICKET_INQUIRY, TICKET_SEAL ->
          onCall.accept(new Call(this, connection, envelope));
      default -> {}
    }
  }

  @Override
  public void disconnected(PeerConnection connection) {
    connections.remove(connection);
  }

  @Override
  public void close() {
    server.close();
    connections.forEach(PeerConnection::close);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
