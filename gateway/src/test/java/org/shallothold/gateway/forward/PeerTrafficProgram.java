package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.route.CallKind;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.Route;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.core.route.ServiceShare;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * Runs gateways and engines on loopback under a rate of requests, with changes of the list of
 * servers and ends of engines, and prints the bytes that the gateways send to each other by cause
 * and content. The seed determines the requests' prompts, but not the order in which threads run.
 */
final class PeerTrafficProgram {

  private static final int MAX_GATEWAYS = 24;
  private static final int MAX_SECONDS = 60;
  private static final int CONNECT_MILLIS = 2_500;
  private static final Duration EVENT_INTERVAL = Duration.ofMillis(40);
  private static final Duration DOWN_TIME = Duration.ofMillis(1_500);
  private static final int DELIST_MILLIS = 700;
  // An entry of a server in the store has about this size.
  private static final int ITEM_BYTES = 260;
  private static final int CONFIGURATION_BYTES = 12_000;
  private static final int CALLER_TIMEOUT_MILLIS = 20_000;
  private static final int MAX_WAITS = 150;
  private static final int WAIT_MILLIS = 100;
  private static final Pattern SAMPLE =
      Pattern.compile(
          "shallothold_peer_sent_bytes_total\\{cause=\"(\\w+)\",content=\"(\\w+)\","
              + "distance=\"(\\w+)\"} (\\S+)");

  private final Options options;
  private final Random random;
  private final List<ScriptedServer> engines = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final Map<String, PublishedItem> store = new TreeMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger notAnswered = new AtomicInteger();
  private long revision = 1;

  /** What the program runs. */
  private record Options(
      int gateways,
      int engines,
      int domains,
      int rate,
      int seconds,
      int crashes,
      int waves,
      int changes,
      int prefillMillis,
      int events,
      int sharedParts,
      int partPool,
      int storeDelayMillis,
      long seed) {

    private static Options parse(String[] arguments) {
      Map<String, String> values =
          Arrays.stream(arguments)
              .collect(
                  Collectors.toMap(
                      argument -> argument.substring(0, argument.indexOf('=')),
                      argument -> argument.substring(argument.indexOf('=') + 1)));
      return new Options(
          Math.min(MAX_GATEWAYS, number(values, "gateways", 12)),
          number(values, "engines", 29),
          number(values, "domains", 3),
          number(values, "rate", 150),
          Math.min(MAX_SECONDS, number(values, "seconds", 10)),
          number(values, "crashes", 0),
          number(values, "waves", 1),
          number(values, "changes", 0),
          number(values, "prefill", 300),
          number(values, "events", 30),
          number(values, "parts", 4),
          number(values, "pool", 400),
          number(values, "store-delay", 0),
          number(values, "seed", 1));
    }

    private static int number(Map<String, String> values, String name, int absent) {
      return Integer.parseInt(values.getOrDefault(name, Integer.toString(absent)));
    }
  }

  /** A gateway and what is needed to publish items to it. */
  private record Member(
      ForwardingGateway gateway,
      int metricsPort,
      CompletableFuture<EventLoop> eventLoop,
      CompletableFuture<PublishedSource.Listener> listener) {}

  private PeerTrafficProgram(Options options) {
    this.options = options;
    this.random = new Random(options.seed());
  }

  /** Runs the program; arguments have the form {@code name=value}. */
  public static void main(String[] arguments) throws Exception {
    new PeerTrafficProgram(Options.parse(arguments)).run();
    System.exit(0);
  }

  private void run() throws Exception {
    for (int i = 0; i < options.engines(); i++) {
      engines.add(ScriptedServer.start("engine-" + (100 + i) + "-model", this::answer));
      put(i, 1);
    }
    InetSocketAddress seed = freeAddress();
    for (int i = 0; i < options.gateways(); i++) {
      members.add(startGateway(i, i == 0 ? seed : freeAddress(), seed));
    }
    publishAll();
    Thread.sleep(CONNECT_MILLIS);
    Map<String, Double> before = sentBytes();
    Thread.ofVirtual().start(this::changeList);
    Thread.ofVirtual().start(this::endEngines);
    sendRequests();
    Map<String, Double> after = sentBytes();
    awaitCalls();
    print(before, after);
  }

  // Gateways and the store

  private Member startGateway(int index, InetSocketAddress peerAddress, InetSocketAddress seed)
      throws IOException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    InetSocketAddress metricsAddress = freeAddress();
    CompletableFuture<EventLoop> eventLoop = new CompletableFuture<>();
    CompletableFuture<PublishedSource.Listener> listener = new CompletableFuture<>();
    String processId = "frontend-gateway-" + index;
    ForwardingGateway gateway =
        ForwardingGateway.start(
            new ForwardOptions(
                processId,
                domain(index),
                anyPort,
                anyPort,
                "/ready",
                peerAddress,
                metricsAddress,
                List.of(seed),
                new ForwardOptions.RetryLimit(0.2, 100, 10_000),
                8_000,
                false,
                32L * 1024 * 1024),
            new TestTranslation(),
            new Decoder(),
            (loop, publishedListener) -> {
              eventLoop.complete(loop);
              listener.complete(publishedListener);
            },
            StructuredLog.start(System.out, processId));
    return new Member(gateway, metricsAddress.getPort(), eventLoop, listener);
  }

  private String domain(int index) {
    return "domain-" + index % options.domains();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private synchronized PublishedItem put(int engine, long startedMillis) {
    String id = engines.get(engine).id();
    String value = engines.get(engine).port() + "," + domain(engine) + "," + startedMillis + ",";
    PublishedItem item =
        PublishedItem.of(
            id, (value + "x".repeat(ITEM_BYTES)).getBytes(StandardCharsets.UTF_8), ++revision);
    store.put(id, item);
    return item;
  }

  private synchronized void publishAll() {
    PublishedItem configuration =
        PublishedItem.of("configuration", new byte[CONFIGURATION_BYTES], 1);
    PublishedPosition asOf = PublishedPosition.withoutEra(revision);
    for (Member member : members) {
      PublishedSource.Listener listener = member.listener().join();
      member
          .eventLoop()
          .join()
          .execute(
              () -> {
                listener.itemsRead(PublishedTopic.CONFIGURATION, List.of(configuration), asOf);
                listener.itemsRead(PublishedTopic.SERVERS, List.copyOf(store.values()), asOf);
              });
    }
  }

  /** Gives all gateways a change; every third gets it later by the configured delay. */
  private void publish(List<PublishedItem> changed, List<PublishedSource.Removal> removed) {
    PublishedPosition asOf = PublishedPosition.withoutEra(revision);
    for (int i = 0; i < members.size(); i++) {
      Member member = members.get(i);
      PublishedSource.Listener listener = member.listener().join();
      member
          .eventLoop()
          .join()
          .schedule(
              () -> listener.itemsChanged(PublishedTopic.SERVERS, changed, removed, asOf),
              i % 3 == 2 ? options.storeDelayMillis() : random.nextInt(30),
              java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  private void changeList() {
    for (int i = 0; options.changes() > 0 && i < options.changes() * options.seconds(); i++) {
      sleep(1_000 / options.changes());
      synchronized (this) {
        publish(List.of(put(i % options.engines(), 1)), List.of());
      }
    }
  }

  /** Ends the first engines in waves; each leaves the list, and is listed again when it is back. */
  private void endEngines() {
    for (int wave = 0; options.crashes() > 0 && wave < options.waves(); wave++) {
      sleep(1_000L * options.seconds() / (options.waves() + 1));
      long startedMillis = wave + 2L;
      for (int i = 0; i < options.crashes(); i++) {
        int engine = (wave * options.crashes() + i) % options.engines();
        Thread.ofVirtual().start(() -> endEngine(engine, startedMillis));
      }
    }
  }

  private void endEngine(int engine, long startedMillis) {
    try {
      engines.get(engine).end(DOWN_TIME);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    sleep(DELIST_MILLIS);
    synchronized (this) {
      String id = engines.get(engine).id();
      store.remove(id);
      publish(
          List.of(),
          List.of(new PublishedSource.Removal(id, PublishedPosition.withoutEra(++revision))));
    }
    sleep(DOWN_TIME.toMillis());
    synchronized (this) {
      publish(List.of(put(engine, startedMillis)), List.of());
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Requests

  private void answer(Exchange exchange) throws IOException {
    exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
    sleep(options.prefillMillis());
    for (int i = 1; i <= options.events(); i++) {
      exchange.send(Exchange.chunk("id: " + i + "\ndata: x\n\n"));
      sleep(EVENT_INTERVAL.toMillis());
    }
    exchange.send("0\r\n\r\n");
  }

  private void sendRequests() {
    long startNanos = System.nanoTime();
    int requests = options.rate() * options.seconds();
    for (int i = 0; i < requests; i++) {
      int number = i;
      int gateway = random.nextInt(members.size());
      String parts =
          IntStream.range(0, options.sharedParts())
                  .mapToObj(part -> "part-" + random.nextInt(options.partPool()))
                  .collect(Collectors.joining(","))
              + ",own-"
              + number;
      Thread.ofVirtual().start(() -> call(members.get(gateway), number, parts));
      long dueNanos = startNanos + 1_000_000_000L * (i + 1) / options.rate();
      sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
    }
  }

  private void awaitCalls() {
    int requests = options.rate() * options.seconds();
    for (int i = 0; i < MAX_WAITS && answered.get() + notAnswered.get() < requests; i++) {
      sleep(WAIT_MILLIS);
    }
  }

  private void call(Member member, int number, String parts) {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), member.gateway().callerPort())) {
      socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
      String head =
          "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nX-Request: r"
              + number
              + "\r\nX-Tokens: 500\r\nX-Parts: "
              + parts
              + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      if (new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
          .endsWith("0\r\n\r\n")) {
        answered.incrementAndGet();
      } else {
        notAnswered.incrementAndGet();
      }
    } catch (IOException e) {
      notAnswered.incrementAndGet();
    }
  }

  // Result

  private Map<String, Double> sentBytes() throws IOException, InterruptedException {
    Map<String, Double> sums = new ConcurrentHashMap<>();
    HttpClient client = HttpClient.newHttpClient();
    for (Member member : members) {
      URI uri = URI.create("http://127.0.0.1:" + member.metricsPort() + "/metrics");
      String text =
          client
              .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
              .body();
      Matcher matcher = SAMPLE.matcher(text);
      while (matcher.find()) {
        sums.merge(
            matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3),
            Double.parseDouble(matcher.group(4)),
            Double::sum);
      }
    }
    return sums;
  }

  private void print(Map<String, Double> before, Map<String, Double> after) {
    Map<String, double[]> rows = new TreeMap<>();
    after.forEach(
        (key, bytes) -> {
          String[] labels = key.split(" ", -1);
          double sent = bytes - before.getOrDefault(key, 0.0);
          int column = labels[2].equals("same_domain") ? 0 : 1;
          rows.computeIfAbsent(labels[0] + " " + labels[1], row -> new double[2])[column] += sent;
          rows.computeIfAbsent("total", row -> new double[2])[column] += sent;
        });
    System.err.printf("%s, %d answered, %d not%n", options, answered.get(), notAnswered.get());
    System.err.printf("%-32s %14s %14s%n", "cause, content", "same domain", "other domains");
    rows.forEach(
        (row, bytes) -> System.err.printf("%-32s %14.0f %14.0f%n", row, bytes[0], bytes[1]));
  }

  /** Reads items as {@link #put} writes them. */
  private static final class Decoder implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      Route route =
          new Route(
              "stream",
              "a.example",
              "/stream/",
              CallKind.STREAM_RESUMABLE,
              10_000,
              1_500,
              0,
              2,
              0,
              true,
              true,
              List.of(new ServiceShare("model", 1)));
      return Optional.of(
          RouteConfiguration.of(
              1,
              List.of(route),
              List.of(new RoutedService("model", 64, true, 100_000, 1, RoutedService.NO_TRANSFER)),
              true,
              Map.of(),
              CallerLimits.DEFAULT));
    }

    @Override
    public Optional<String> evacuatedDomain(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      String[] fields = new String(item.value(), StandardCharsets.UTF_8).split(",", -1);
      return Optional.of(
          new ServerEntry(
              item.key(),
              "model",
              "127.0.0.1",
              Integer.parseInt(fields[0]),
              fields[1],
              64,
              false,
              Long.parseLong(fields[2])));
    }
  }
}
