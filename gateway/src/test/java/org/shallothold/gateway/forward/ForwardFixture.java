package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.route.CallKind;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.CustomerIdentity;
import org.shallothold.core.route.Route;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.core.route.ServiceShare;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;

/** A gateway on loopback before scripted servers. */
final class ForwardFixture implements AutoCloseable {

  private static final long TIMEOUT_MILLIS = 1_500;

  private final List<ScriptedServer> servers = new ArrayList<>();
  private final CompletableFuture<EventLoop> eventLoop = new CompletableFuture<>();
  private final CompletableFuture<PublishedSource.Listener> listener = new CompletableFuture<>();
  private final ForwardingGateway gateway;
  private final int port;

  private ForwardFixture() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ForwardOptions options =
        new ForwardOptions(
            "test",
            "north",
            any,
            any,
            "/ready",
            null,
            null,
            List.of(),
            new ForwardOptions.RepeatLimit(0.2, 100, 10_000),
            8_000);
    gateway =
        ForwardingGateway.start(
            options,
            new TestTranslation(),
            new Decoder(),
            (loop, receiver) -> {
              eventLoop.complete(loop);
              listener.complete(receiver);
            },
            StructuredLog.start(System.out, "test"));
    port = gateway.callersPort();
  }

  /** Starts a gateway that knows no configuration. */
  static ForwardFixture unconfigured() {
    return new ForwardFixture();
  }

  /** Starts a gateway before two servers with the given scripts. */
  static ForwardFixture before(ScriptedServer.Script first, ScriptedServer.Script second)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture();
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish();
    return fixture;
  }

  /** Publishes the configuration and a server to a gateway that knew none. */
  void configure(ScriptedServer.Script script) throws IOException {
    servers.add(ScriptedServer.start("first", script));
    publish();
  }

  ScriptedServer first() {
    return servers.getFirst();
  }

  ScriptedServer second() {
    return servers.getLast();
  }

  int arrivals() {
    return servers.stream().mapToInt(server -> server.requests().size()).sum();
  }

  /** Makes the gateway take no more requests; returns when it has. */
  void stopTaking() {
    CompletableFuture<Integer> goingOn = new CompletableFuture<>();
    eventLoop.join().execute(() -> goingOn.complete(gateway.stopTaking()));
    goingOn.join();
  }

  /** Publishes the configuration and all servers; returns when the gateway has taken them. */
  private void publish() {
    publish(servers, 1);
  }

  /** Publishes a list without servers and then the former one again, as after an outage. */
  void forgetServersAndListThemAgain() {
    publish(List.of(), 2);
    publish(servers, 3);
  }

  private void publish(List<ScriptedServer> listed, long revision) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    eventLoop
        .join()
        .execute(
            () -> {
              PublishedSource.Listener receiver = listener.join();
              receiver.itemsRead(
                  PublishedTopic.CONFIGURATION,
                  List.of(new PublishedItem("configuration", new byte[0], 1)),
                  revision);
              receiver.itemsRead(
                  PublishedTopic.SERVERS,
                  listed.stream()
                      .map(server -> new PublishedItem(server.id(), new byte[0], revision))
                      .toList(),
                  revision);
              done.complete(null);
            });
    done.join();
  }

  /** Opens a connection of a caller. */
  Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  /** Sends a request on a connection of its own and returns all that comes until it closes. */
  String call(String path, String fields) throws IOException {
    try (Socket socket = connect()) {
      send(socket, path, "Connection: close\r\n" + fields, "");
      return readAll(socket);
    }
  }

  static void send(Socket socket, String path, String fields, String body) throws IOException {
    OutputStream output = socket.getOutputStream();
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: a.example\r\nX-Request: r1\r\n"
            + fields
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n";
    output.write((head + body).getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  static String readAll(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    try {
      for (int value = input.read(); value >= 0; value = input.read()) {
        text.append((char) value);
      }
    } catch (IOException e) {
      text.append("<reset>");
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  private static Route route(String prefix, CallKind kind) {
    return new Route(
        prefix,
        "a.example",
        prefix,
        kind,
        TIMEOUT_MILLIS,
        100,
        0,
        2,
        0,
        !prefix.equals("/private/"),
        false,
        List.of(new ServiceShare("desk", 1)));
  }

  private final class Decoder implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      return Optional.of(
          RouteConfiguration.of(
              1,
              List.of(
                  route("/repeatable/", CallKind.REPEATABLE),
                  route("/once/", CallKind.ONCE),
                  route("/stream-once/", CallKind.STREAM_ONCE),
                  route("/stream/", CallKind.STREAM_RESUMABLE),
                  route("/private/", CallKind.REPEATABLE)),
              List.of(new RoutedService("desk", 10, false, 0, 1, RoutedService.NO_TRANSFER)),
              true,
              Map.of("good", new CustomerIdentity("mill", CustomerIdentity.NO_PRIORITY)),
              CallerLimits.DEFAULT));
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      return servers.stream()
          .filter(server -> server.id().equals(item.key()))
          .map(
              server ->
                  new ServerEntry(
                      server.id(),
                      "desk",
                      "127.0.0.1",
                      server.port(),
                      // The gateway prefers servers of its own failure domain.
                      server.id().equals("first") ? "north" : "south",
                      6,
                      false,
                      1))
          .findFirst();
    }
  }
}
