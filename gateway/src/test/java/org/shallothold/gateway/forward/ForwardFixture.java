package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.route.CallKind;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.ColdStart;
import org.shallothold.core.route.CustomerIdentity;
import org.shallothold.core.route.Route;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.core.route.ServiceShare;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;

/** Gateways on the loopback interface, usually one, that forward to scripted servers. */
final class ForwardFixture implements AutoCloseable {

  private static final long ROUTE_TIMEOUT_MILLIS = 1_500;
  private static final String EVACUATION_PREFIX = "evacuate/";

  private final List<ScriptedServer> servers = new ArrayList<>();
  private final List<Instance> gateways = new ArrayList<>();
  private final @Nullable InetSocketAddress seedAddress;
  // Read by the event loops when the configuration is published.
  private volatile RoutedService service =
      new RoutedService("desk", 10, false, 0, 1, RoutedService.NO_TRANSFER);

  private ForwardFixture(Limits limits) {
    seedAddress = null;
    gateways.add(Instance.start("test", null, List.of(), new TestDecoder(), limits));
  }

  /** Starts gateways that exchange their state; none has a configuration. */
  private ForwardFixture(int gatewayCount) throws IOException {
    this(gatewayCount, Limits.DEFAULT);
  }

  private ForwardFixture(int gatewayCount, Limits limits) throws IOException {
    InetSocketAddress seed = freeAddress();
    seedAddress = seed;
    for (int i = 0; i < gatewayCount; i++) {
      InetSocketAddress peerAddress = i == 0 ? seed : freeAddress();
      gateways.add(
          Instance.start("test-" + i, peerAddress, List.of(seed), new TestDecoder(), limits));
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  /** A gateway, and the event loop and listener that it gave its source of published items. */
  private record Instance(
      ForwardingGateway gateway,
      CompletableFuture<EventLoop> eventLoop,
      CompletableFuture<PublishedSource.Listener> listener) {

    private static Instance start(
        String processId,
        @Nullable InetSocketAddress peerAddress,
        List<InetSocketAddress> seeds,
        PublishedDecoder decoder,
        Limits limits) {
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      ForwardOptions options =
          new ForwardOptions(
              processId,
              "north",
              anyPort,
              anyPort,
              "/ready",
              peerAddress,
              null,
              seeds,
              new ForwardOptions.RetryLimit(0.2, 100, 10_000),
              limits.shutdownTimeoutMillis(),
              limits.startingServers(),
              limits.bufferBytes());
      CompletableFuture<EventLoop> eventLoop = new CompletableFuture<>();
      CompletableFuture<PublishedSource.Listener> listener = new CompletableFuture<>();
      ForwardingGateway gateway =
          ForwardingGateway.start(
              options,
              new TestTranslation(),
              decoder,
              (loop, publishedListener) -> {
                eventLoop.complete(loop);
                listener.complete(publishedListener);
              },
              StructuredLog.start(System.out, processId));
      return new Instance(gateway, eventLoop, listener);
    }
  }

  /**
   * Limits of a gateway.
   *
   * @param shutdownTimeoutMillis time from the begin of a shutdown to its end, in milliseconds
   * @param startingServers whether servers that start get their usual load step by step
   * @param bufferBytes memory for buffers, in bytes
   */
  record Limits(long shutdownTimeoutMillis, boolean startingServers, long bufferBytes) {
    private static final Limits DEFAULT = new Limits(8_000, false, 32L * 1024 * 1024);

    Limits withShutdownTimeoutMillis(long millis) {
      return new Limits(millis, startingServers, bufferBytes);
    }

    Limits withStartingServers() {
      return new Limits(shutdownTimeoutMillis, true, bufferBytes);
    }

    Limits withBufferBytes(long bytes) {
      return new Limits(shutdownTimeoutMillis, startingServers, bytes);
    }

    static Limits defaults() {
      return DEFAULT;
    }
  }

  /** Starts a gateway with limits, and two servers; see {@link #withServers}. */
  static ForwardFixture withLimits(
      Limits limits, ScriptedServer.Script first, ScriptedServer.Script second) throws IOException {
    ForwardFixture fixture = new ForwardFixture(limits);
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish();
    return fixture;
  }

  /** Starts a gateway without a configuration. */
  static ForwardFixture unconfigured() {
    return new ForwardFixture(Limits.DEFAULT);
  }

  /** Starts a gateway with limits and without a configuration. */
  static ForwardFixture unconfigured(Limits limits) {
    return new ForwardFixture(limits);
  }

  /**
   * Starts a gateway and two servers, and publishes both. The gateway prefers the first, which is
   * in its own failure domain.
   */
  static ForwardFixture withServers(ScriptedServer.Script first, ScriptedServer.Script second)
      throws IOException {
    return withLimits(Limits.DEFAULT, first, second);
  }

  /** Starts gateways that exchange their state and two servers, and publishes both to all. */
  static ForwardFixture withGateways(
      int gatewayCount, ScriptedServer.Script first, ScriptedServer.Script second)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture(gatewayCount);
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish();
    return fixture;
  }

  /** Starts gateways and two model engines with events of 4 tokens, and publishes these to all. */
  static ForwardFixture withEngines(
      int gatewayCount, ScriptedServer.Script first, ScriptedServer.Script second)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture(gatewayCount);
    fixture.service = new RoutedService("desk", 10, true, 500_000, 4, RoutedService.NO_TRANSFER);
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish();
    return fixture;
  }

  /**
   * Starts gateways that exchange their state and two servers of a service whose servers start
   * cold, and publishes both to all.
   */
  static ForwardFixture withColdStart(
      int gatewayCount,
      ColdStart coldStart,
      ScriptedServer.Script first,
      ScriptedServer.Script second)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture(gatewayCount);
    fixture.service =
        new RoutedService("desk", 10, false, 0, 1, RoutedService.NO_TRANSFER, coldStart);
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish();
    return fixture;
  }

  /**
   * Starts gateways as {@link #withColdStart}, but publishes only the second server; the first one
   * starts with its first entry.
   */
  static ForwardFixture withLaterServer(
      int gatewayCount,
      Limits limits,
      ColdStart coldStart,
      ScriptedServer.Script first,
      ScriptedServer.Script second)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture(gatewayCount, limits);
    fixture.service =
        new RoutedService("desk", 10, false, 0, 1, RoutedService.NO_TRANSFER, coldStart);
    fixture.servers.add(ScriptedServer.start("first", first));
    fixture.servers.add(ScriptedServer.start("second", second));
    fixture.publish(List.of(fixture.second()), 1);
    return fixture;
  }

  /**
   * Publishes the entries of some servers to one of the gateways, as the platform.
   *
   * @param entries by server id, the figure in the entry that says how long the server stays cold;
   *     empty if there is none
   */
  void publishServers(int gateway, long revision, Map<String, String> entries) {
    onEventLoop(
        gateways.get(gateway),
        listener ->
            listener.itemsRead(
                PublishedTopic.SERVERS,
                entries.entrySet().stream()
                    .map(
                        entry ->
                            PublishedItem.of(
                                entry.getKey(),
                                entry.getValue().getBytes(StandardCharsets.UTF_8),
                                revision))
                    .toList(),
                PublishedPosition.withoutEra(revision)));
  }

  /** Starts gateways that exchange their state and servers, and publishes these to all. */
  static ForwardFixture withGateways(int gatewayCount, List<ScriptedServer> startedServers)
      throws IOException {
    ForwardFixture fixture = new ForwardFixture(gatewayCount);
    fixture.servers.addAll(startedServers);
    fixture.publish();
    return fixture;
  }

  /**
   * Starts one more gateway that knows the peer address of the first, and publishes all servers to
   * it; returns its index.
   */
  int addGateway() throws IOException {
    gateways.add(
        Instance.start(
            "test-" + gateways.size(),
            freeAddress(),
            List.of(seed()),
            new TestDecoder(),
            Limits.DEFAULT));
    publish(gateways.getLast(), servers, 1);
    return gateways.size() - 1;
  }

  /** Returns the address at which the first of several gateways accepts peers. */
  InetSocketAddress seed() {
    return Objects.requireNonNull(seedAddress);
  }

  /** Starts a server and publishes it with the configuration. */
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

  /** Returns the number of requests that all servers received. */
  int receivedRequests() {
    return servers.stream().mapToInt(server -> server.requests().size()).sum();
  }

  /** Returns the number of bytes that callers' requests occupy in the gateway. */
  long requestMemoryBytes() {
    return gateways.getFirst().gateway().requestMemory().usedBytes();
  }

  /** Returns a figure of the gateway's memory for buffers. */
  long bufferBytes(ToLongFunction<MemoryBudget> figure) {
    Instance first = gateways.getFirst();
    return CompletableFuture.supplyAsync(
            () -> figure.applyAsLong(first.gateway().memory()), first.eventLoop().join())
        .join();
  }

  /** Returns the smallest share of prefills that a gateway grants an engine. */
  double lowestPrefillShare(int gateway) {
    Instance instance = gateways.get(gateway);
    return CompletableFuture.supplyAsync(
            () ->
                servers.stream()
                    .map(server -> instance.gateway().server(server.id()))
                    .filter(Objects::nonNull)
                    .mapToDouble(TrackedServer::prefillShare)
                    .min()
                    .orElseThrow(),
            instance.eventLoop().join())
        .join();
  }

  /** Makes the gateway's event loop handle nothing for a time. */
  void keepEventLoopBusy(Duration time) {
    keepEventLoopBusy(0, time);
  }

  /** Makes the event loop of one of the gateways handle nothing for a time. */
  void keepEventLoopBusy(int gateway, Duration time) {
    gateways.get(gateway).eventLoop().join().execute(() -> LockSupport.parkNanos(time.toNanos()));
  }

  /** Drains the gateway as at SIGTERM; returns what {@link ForwardingGateway#drain} returns. */
  CompletableFuture<Boolean> drain() {
    CompletableFuture<Boolean> drained = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> drained.complete(gateways.getFirst().gateway().drain()));
    return drained;
  }

  /** Makes the gateway stop accepting requests; returns when it has. */
  void stopAcceptingRequests() {
    CompletableFuture<Integer> openRequests = new CompletableFuture<>();
    Instance first = gateways.getFirst();
    first
        .eventLoop()
        .join()
        .execute(() -> openRequests.complete(first.gateway().stopAcceptingRequests()));
    openRequests.join();
  }

  /** Publishes the configuration and all servers; returns when the gateway has applied them. */
  private void publish() {
    publish(servers, 1);
  }

  /** Publishes an empty list of servers and then the previous one, as after an outage. */
  void delistAndRelistServers() {
    publish(List.of(), 2);
    publish(servers, 3);
  }

  private void publish(List<ScriptedServer> listedServers, long revision) {
    gateways.forEach(gateway -> publish(gateway, listedServers, revision));
  }

  private static void publish(Instance gateway, List<ScriptedServer> listedServers, long revision) {
    onEventLoop(
        gateway,
        listener -> {
          listener.itemsRead(
              PublishedTopic.CONFIGURATION,
              List.of(PublishedItem.of("configuration", new byte[0], 1)),
              PublishedPosition.withoutEra(revision));
          listener.itemsRead(
              PublishedTopic.SERVERS,
              listedServers.stream()
                  .map(server -> PublishedItem.of(server.id(), new byte[0], revision))
                  .toList(),
              PublishedPosition.withoutEra(revision));
        });
  }

  /** Calls a gateway's listener on its event loop; returns when it has returned. */
  private static void onEventLoop(Instance gateway, Consumer<PublishedSource.Listener> action) {
    CompletableFuture.runAsync(
            () -> action.accept(gateway.listener().join()), gateway.eventLoop().join())
        .join();
  }

  /** Publishes the configuration and evacuated failure domains to one of the gateways. */
  void publishEvacuations(int gateway, long revision, String... domains) {
    Stream<String> keys =
        Stream.concat(
            Stream.of("configuration"), Stream.of(domains).map(EVACUATION_PREFIX::concat));
    onEventLoop(
        gateways.get(gateway),
        listener ->
            listener.itemsRead(
                PublishedTopic.CONFIGURATION,
                keys.map(key -> PublishedItem.of(key, new byte[0], revision)).toList(),
                PublishedPosition.withoutEra(revision)));
  }

  /** Opens a connection as a caller. */
  Socket connect() throws IOException {
    return connect(0);
  }

  /** Returns the address at which callers connect. */
  InetSocketAddress connectAddress() {
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), gateways.getFirst().gateway().callerPort());
  }

  private Socket connect(int gateway) throws IOException {
    return new Socket(
        InetAddress.getLoopbackAddress(), gateways.get(gateway).gateway().callerPort());
  }

  /** Sends a request on a new connection and returns all bytes received until it closes. */
  String call(String path, String headers) throws IOException {
    return call(0, path, headers);
  }

  /** Sends a request to one of the gateways; see {@link #call(String, String)}. */
  String call(int gateway, String path, String headers) throws IOException {
    try (Socket socket = connect(gateway)) {
      send(socket, path, "Connection: close\r\n" + headers, "");
      return readAll(socket);
    }
  }

  static void send(Socket socket, String path, String headers, String body) throws IOException {
    OutputStream output = socket.getOutputStream();
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: a.example\r\nX-Request: r1\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n";
    output.write((head + body).getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  /**
   * Returns all bytes until the connection closes, with {@code <reset>} appended if it is reset.
   */
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
        ROUTE_TIMEOUT_MILLIS,
        100,
        0,
        2,
        0,
        !prefix.equals("/private/"),
        false,
        List.of(new ServiceShare("desk", 1)));
  }

  private final class TestDecoder implements PublishedDecoder {

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
              List.of(service),
              true,
              Map.of("good", new CustomerIdentity("mill", CustomerIdentity.NO_PRIORITY)),
              CallerLimits.DEFAULT));
    }

    @Override
    public Optional<String> evacuatedDomain(PublishedItem item) {
      return item.key().startsWith(EVACUATION_PREFIX)
          ? Optional.of(item.key().substring(EVACUATION_PREFIX.length()))
          : Optional.empty();
    }

    @Override
    public ColdFigure coldFigure(PublishedItem item) {
      return item.value().length == 0
          ? ColdFigure.absent()
          : ColdFigure.parse(new String(item.value(), StandardCharsets.UTF_8));
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
