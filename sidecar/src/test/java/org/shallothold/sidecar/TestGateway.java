package org.shallothold.sidecar;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
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
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/** A gateway's end of a connection, driven by a test. Messages are in protobuf's text form. */
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
            .setRole(Role.ROLE_GATEWAY)
            .setVersion(WireVersions.toWire(ConfigurationVersion.INITIAL))
            .build();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    client = PeerClient.start(group, address, ConnectionLimits.DEFAULT, () -> hello, this, null);
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

  void send(String text) {
    PeerConnection open = connection.get();
    try {
      if (open == null || !open.send(TextFormat.parse(text, Envelope.class))) {
        throw new IllegalStateException("not connected");
      }
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(text, e);
    }
  }

  void submit(int number, String serviceClass, String work) {
    send(
        """
        submit { attempt { request_number: %d attempt_number: 1 } request_id: 'request-%1$d'
          version { number: %d } deadline_millis: 60000 service_class: '%s' %s }
        """
            .formatted(number, version, serviceClass, work));
  }

  void complete(int number, String serviceClass, String script, String resumeTokens) {
    submit(
        number,
        serviceClass,
        """
        customer: 'mill' completion { model: 'model' resume_tokens: [%s]
          body: '{"x":[1],"script":"%s"}' }
        """
            .formatted(resumeTokens, script));
  }

  void call(int number, String method, String path, String script, String ticket, String body) {
    submit(
        number,
        "low",
        """
        customer: 'mill' service_call { service: 'orders' method: '%s' path: '%s' body: '%s'
          headers { name: 'script' value: '%s' } order_ticket: '%s' }
        """
            .formatted(method, path, body, script, ticket));
  }

  void cancel(int number) {
    send("cancel { attempt { request_number: " + number + " attempt_number: 1 } }");
  }

  /** Asks for tickets until one is granted, since the configuration may arrive late. */
  String ticket() {
    Eventually.holds("a ticket", () -> !requestTicket().isEmpty());
    return requestTicket();
  }

  private String requestTicket() {
    long call = ++calls;
    send("ticket_request { call_number: " + call + " service: 'orders' }");
    return await(item -> item.getTicketGrant().getCallNumber() == call)
        .getTicketGrant()
        .getTicket();
  }

  /** Sends {@code ticket_inquiry} or {@code ticket_seal} and returns the state. */
  String ask(String message, String ticket) {
    long call = ++calls;
    send("%s { call_number: %d ticket: '%s' }".formatted(message, call, ticket));
    return await(item -> item.getTicketState().getCallNumber() == call).getTicketState().getState();
  }

  Envelope await(Predicate<Envelope> condition) {
    Eventually.holds("a message in " + received, () -> received.stream().anyMatch(condition));
    return received.stream().filter(condition).findFirst().orElseThrow();
  }

  /** Waits until the frames of an attempt read as expected, with its token frames joined. */
  void expect(int number, String expected) {
    Eventually.equal(expected, () -> frames(number));
  }

  private String frames(int number) {
    List<String> texts = new ArrayList<>();
    int start = 0;
    int end = -1;
    for (Envelope item : received) {
      if (!isAbout(item, number)) {
        continue;
      }
      if (item.hasTokens()) {
        int offset = item.getTokens().getOffset();
        if (end == offset) {
          texts.removeLast();
        } else {
          start = offset;
        }
        end = offset + item.getTokens().getTokensCount();
        texts.add("tokens " + start + "-" + end);
      } else {
        texts.add(text(item));
      }
    }
    return String.join(", ", texts);
  }

  private static boolean isAbout(Envelope item, int number) {
    return item.getAllFields().values().stream()
        .map(Message.class::cast)
        .flatMap(message -> message.getAllFields().values().stream())
        .anyMatch(
            field ->
                field instanceof org.shallothold.wire.proto.Attempt attempt
                    && attempt.getRequestNumber() == number);
  }

  private static String text(Envelope item) {
    return switch (item.getMessageCase()) {
      case FINISHED -> {
        var finished = item.getFinished();
        String kind = finished.getKind().name().replace("FINISH_KIND_", "");
        String reason = finished.getFinishReason() + finished.getReasonCode();
        yield kind + " " + finished.getTokenCount() + " " + reason;
      }
      case REFUSED -> {
        var refused = item.getRefused();
        yield refused.getVerdict().name().replace("VERDICT_KIND_", "")
            + " "
            + refused.getReasonCode();
      }
      case SERVICE_ANSWER -> {
        var answer = item.getServiceAnswer();
        yield answer.getStatus() + " " + answer.getBody().toString(StandardCharsets.UTF_8);
      }
      default -> item.getMessageCase().name().toLowerCase(java.util.Locale.ROOT);
    };
  }
}
