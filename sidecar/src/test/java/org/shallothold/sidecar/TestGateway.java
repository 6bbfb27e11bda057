package org.shallothold.sidecar;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.runtime.sync.WireVersions;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Cancel;
import org.shallothold.wire.proto.Completion;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Finished;
import org.shallothold.wire.proto.Header;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Refused;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.ServiceCall;
import org.shallothold.wire.proto.Submit;
import org.shallothold.wire.proto.TicketInquiry;
import org.shallothold.wire.proto.TicketRequest;
import org.shallothold.wire.proto.TicketSeal;
import org.shallothold.wire.proto.Version;

/** A gateway's end of a connection, driven by a test. */
final class TestGateway implements PeerListener, AutoCloseable {

  private final List<Envelope> received = new CopyOnWriteArrayList<>();
  private final AtomicReference<@Nullable PeerConnection> connection = new AtomicReference<>();
  private final PeerClient client;
  private long calls;

  /** Version that submissions are made under. */
  long version = 1;

  TestGateway(EventLoopGroup group, int port) {
    Hello hello =
        Hello.newBuilder()
            .setProcessId("gateway")
            .setRole(Role.ROLE_GATEWAY)
            .setVersion(WireVersions.toWire(ConfigurationVersion.INITIAL))
            .build();
    client =
        PeerClient.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            ConnectionLimits.DEFAULT,
            () -> hello,
            this,
            null);
    Eventually.holds("connected", () -> connection.get() != null);
  }

  @Override
  public void connected(PeerConnection newConnection, Hello hello) {
    connection.set(newConnection);
  }

  @Override
  public void received(PeerConnection from, Envelope envelope) {
    received.add(envelope);
  }

  @Override
  public void disconnected(PeerConnection closed) {
    connection.set(null);
  }

  @Override
  public void close() {
    client.close();
  }

  void send(Envelope envelope) {
    PeerConnection open = connection.get();
    if (open == null || !open.send(envelope)) {
      throw new IllegalStateException("not connected");
    }
  }

  void complete(int number, String serviceClass, String script, String... resumeTokens) {
    submit(
        number,
        serviceClass,
        Submit.newBuilder()
            .setCompletion(
                Completion.newBuilder()
                    .setModel("model")
                    .setBody(ByteString.copyFromUtf8("{\"x\":[1],\"script\":\"" + script + "\"}"))
                    .addAllResumeTokens(List.of(resumeTokens))));
  }

  void call(int number, String method, String path, String script, String ticket, String body) {
    submit(
        number,
        "low",
        Submit.newBuilder()
            .setServiceCall(
                ServiceCall.newBuilder()
                    .setService("orders")
                    .setMethod(method)
                    .setPath(path)
                    .addHeaders(Header.newBuilder().setName("script").setValue(script))
                    .setBody(ByteString.copyFromUtf8(body))
                    .setOrderTicket(ticket)));
  }

  void submit(int number, String serviceClass, Submit.Builder submit) {
    send(
        Envelope.newBuilder()
            .setSubmit(
                submit
                    .setAttempt(attempt(number))
                    .setRequestId("request-" + number)
                    .setVersion(Version.newBuilder().setNumber(version))
                    .setServiceClass(serviceClass)
                    .setCustomer(submit.getCustomer().isEmpty() ? "mill" : submit.getCustomer())
                    .setDeadlineMillis(60_000))
            .build());
  }

  void cancel(int number) {
    send(Envelope.newBuilder().setCancel(Cancel.newBuilder().setAttempt(attempt(number))).build());
  }

  String ticket() {
    long call = ++calls;
    send(
        Envelope.newBuilder()
            .setTicketRequest(TicketRequest.newBuilder().setCallNumber(call).setService("orders"))
            .build());
    return await(item -> item.getTicketGrant().getCallNumber() == call)
        .getTicketGrant()
        .getTicket();
  }

  String inquire(String ticket) {
    long call = ++calls;
    send(
        Envelope.newBuilder()
            .setTicketInquiry(TicketInquiry.newBuilder().setCallNumber(call).setTicket(ticket))
            .build());
    return state(call);
  }

  String seal(String ticket) {
    long call = ++calls;
    send(
        Envelope.newBuilder()
            .setTicketSeal(TicketSeal.newBuilder().setCallNumber(call).setTicket(ticket))
            .build());
    return state(call);
  }

  Envelope await(Predicate<Envelope> condition) {
    Eventually.holds("a message in " + received, () -> received.stream().anyMatch(condition));
    return received.stream().filter(condition).findFirst().orElseThrow();
  }

  /** Waits until the frames of an attempt read as expected, with its token frames joined. */
  void expect(int number, String expected) {
    Eventually.equal(expected, () -> frames(number));
  }

  String frames(int number) {
    List<String> texts = new ArrayList<>();
    int end = -1;
    int start = 0;
    for (Envelope item : received) {
      if (item.getTokens().getAttempt().equals(attempt(number))) {
        int offset = item.getTokens().getOffset();
        start = end == offset ? start : offset;
        if (end == offset) {
          texts.removeLast();
        }
        end = offset + item.getTokens().getTokensCount();
        texts.add("tokens " + start + "-" + end);
      } else {
        text(item, number).ifPresent(texts::add);
      }
    }
    return String.join(", ", texts);
  }

  private static java.util.Optional<String> text(Envelope item, int number) {
    Attempt attempt = attempt(number);
    String text =
        switch (item.getMessageCase()) {
          case ACCEPTED -> item.getAccepted().getAttempt().equals(attempt) ? "accepted" : "";
          case STARTED -> item.getStarted().getAttempt().equals(attempt) ? "started" : "";
          case FINISHED -> {
            Finished finished = item.getFinished();
            yield finished.getAttempt().equals(attempt)
                ? (finished.getKind().name().substring("FINISH_KIND_".length())
                        + " "
                        + finished.getTokenCount()
                        + " "
                        + finished.getFinishReason()
                        + finished.getReasonCode())
                    .strip()
                : "";
          }
          case REFUSED -> {
            Refused refused = item.getRefused();
            yield refused.getAttempt().equals(attempt)
                ? refused.getVerdict().name().substring("VERDICT_KIND_".length())
                    + " "
                    + refused.getReasonCode()
                : "";
          }
          case SERVICE_ANSWER ->
              item.getServiceAnswer().getAttempt().equals(attempt)
                  ? item.getServiceAnswer().getStatus()
                      + " "
                      + item.getServiceAnswer().getBody().toString(StandardCharsets.UTF_8)
                  : "";
          default -> "";
        };
    return java.util.Optional.of(text).filter(found -> !found.isEmpty());
  }

  private String state(long call) {
    return await(item -> item.getTicketState().getCallNumber() == call).getTicketState().getState();
  }

  private static Attempt attempt(int number) {
    return Attempt.newBuilder().setRequestNumber(number).setAttemptNumber(1).build();
  }
}
