package org.shallothold.experiment.rate;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.shallothold.experiment.fleet.JsonHttp;
import org.shallothold.gateway.forward.ForwardOptions;
import org.shallothold.gateway.forward.ForwardingGateway;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.standin.engine.EngineStandin;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.LoopbackServer;
import org.shallothold.standin.options.Arguments;

/**
 * Loads several gateways, which run in this process and exchange their state over loopback, before
 * three engine stand-ins, of which one states a rate. Tells how many requests that one got in any
 * four seconds.
 */
public final class StatedRateRun {

  private static final int ENGINES = 3;
  private static final String HOST = "engines.example";
  private static final int WINDOW_SECONDS = 4;
  // Gateways learn of the rate, and processes warm up, before the measured time.
  private static final int CONTACT_SECONDS = 3;
  // Gateways find each other, and a new coordinator issues permits, within this time.
  private static final Duration START_TIME = Duration.ofSeconds(6);
  private static final String BODY =
      "{\"messages\": [{\"role\": \"user\", \"content\": \"weigh the oats\"}], \"max_tokens\": 2}";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final long ROUTE_TIMEOUT_MILLIS = 2_000;

  private StatedRateRun() {}

  /**
   * What is run.
   *
   * @param statedRate requests per second that the first engine states
   * @param callsPerSecond calls over all gateways
   * @param skew part of the calls that go to the first gateway, beside its equal share of the rest
   */
  public record Plan(
      long seed,
      int gateways,
      double statedRate,
      double callsPerSecond,
      double skew,
      int seconds) {}

  /** Runs, and prints a table and, as the last line, one JSON object. */
  public static void run(Plan plan, PrintStream out) throws IOException {
    // The gateways route by host, and their ports are chosen after the routes.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    List<LoopbackServer> engines = IntStream.range(0, ENGINES).mapToObj(i -> engine()).toList();
    List<Integer> ports = startGateways(plan.gateways(), engines);
    try (HttpClient client = HttpClient.newHttpClient()) {
      sleep(START_TIME);
      LoopbackServer limited = engines.getFirst();
      stateRate(plan, client, limited);
      call(plan, CONTACT_SECONDS, client, ports);
      stateRate(plan, client, limited);
      long arrivedBefore = arrivals(client, limited);
      Calls calls = call(plan, plan.seconds(), client, ports);
      print(plan, client, limited, calls, arrivals(client, limited) - arrivedBefore, out);
    } finally {
      engines.forEach(LoopbackServer::close);
    }
  }

  /** Makes an engine state the planned rate, and count its arrivals from now on. */
  private static void stateRate(Plan plan, HttpClient client, LoopbackServer engine) {
    post(client, engine.port(), "/faults", "{\"stated_rate\": " + plan.statedRate() + "}").join();
  }

  private static LoopbackServer engine() {
    return LoopbackServer.start(
        0,
        loop ->
            EngineStandin.create(
                Arguments.parse(EngineStandin.OPTIONS, "--step-base-ms", "5"), loop, () -> {}));
  }

  private static List<Integer> startGateways(int count, List<LoopbackServer> engines)
      throws IOException {
    InetSocketAddress seed = freeAddress();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      ForwardOptions options =
          new ForwardOptions(
              "gateway-" + i,
              "north",
              anyPort,
              anyPort,
              "/ready",
              i == 0 ? seed : freeAddress(),
              null,
              List.of(seed),
              new ForwardOptions.RetryLimit(0.2, 50, 10_000),
              8_000,
              false,
              ForwardOptions.bufferBytes(Runtime.getRuntime().maxMemory()));
      ports.add(
          ForwardingGateway.start(
                  options,
                  new StandinTranslation(),
                  new Published(engines),
                  (eventLoop, listener) ->
                      eventLoop.execute(
                          () -> {
                            listener.itemsRead(
                                PublishedTopic.CONFIGURATION,
                                List.of(item("configuration")),
                                PublishedPosition.withoutEra(1));
                            listener.itemsRead(
                                PublishedTopic.SERVERS,
                                IntStream.range(0, ENGINES)
                                    .mapToObj(engine -> item("engine-" + engine))
                                    .toList(),
                                PublishedPosition.withoutEra(1));
                          }),
                  StructuredLog.start(
                      new PrintStream(OutputStream.nullOutputStream()), "gateway-" + i))
              .callerPort());
    }
    return ports;
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private static PublishedItem item(String key) {
    return PublishedItem.of(key, new byte[0], 1);
  }

  /** Describes the engines, which all gateways reach at their loopback addresses. */
  private record Published(List<LoopbackServer> engines) implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      Route route =
          new Route(
              "all",
              HOST,
              "/",
              CallKind.ONCE,
              ROUTE_TIMEOUT_MILLIS,
              500,
              0,
              2,
              0,
              true,
              false,
              List.of(new ServiceShare("engines", 1)));
      return Optional.of(
          RouteConfiguration.of(
              1,
              List.of(route),
              List.of(new RoutedService("engines", 1_000, false, 0, 1, RoutedService.NO_TRANSFER)),
              false,
              Map.of(),
              CallerLimits.DEFAULT));
    }

    @Override
    public Optional<String> evacuatedDomain(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      int index = Integer.parseInt(item.key().substring("engine-".length()));
      // Gateways prefer the first engine, which is in their failure domain.
      return Optional.of(
          new ServerEntry(
              item.key(),
              "engines",
              "127.0.0.1",
              engines.get(index).port(),
              index == 0 ? "north" : "south",
              16,
              false,
              1));
    }
  }

  private record Calls(int sent, int completed) {}

  /** Calls for a time and waits for the answers. */
  private static Calls call(Plan plan, int seconds, HttpClient client, List<Integer> ports) {
    AtomicInteger completed = new AtomicInteger();
    Random random = new Random(plan.seed());
    List<CompletableFuture<Void>> answers = new ArrayList<>();
    long startNanos = System.nanoTime();
    double atSeconds = 0;
    while (true) {
      atSeconds -= Math.log(1 - random.nextDouble()) / plan.callsPerSecond();
      if (atSeconds > seconds) {
        break;
      }
      sleep(Duration.ofNanos((long) (atSeconds * 1e9) - (System.nanoTime() - startNanos)));
      int gateway = random.nextDouble() < plan.skew() ? 0 : random.nextInt(ports.size());
      answers.add(
          post(client, ports.get(gateway), "/v1/chat/completions", BODY)
              .thenAccept(answer -> completed.addAndGet(answer.statusCode() == 200 ? 1 : 0)));
    }
    CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).join();
    return new Calls(answers.size(), completed.get());
  }

  private static CompletableFuture<HttpResponse<String>> post(
      HttpClient client, int port, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .timeout(CALL_TIMEOUT)
            .header("Content-Type", "application/json")
            .header("Host", HOST)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
  }

  private static ObjectNode counters(HttpClient client, LoopbackServer engine) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/counters"))
            .timeout(CALL_TIMEOUT)
            .build();
    try {
      HttpResponse<byte[]> answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return Json.parseObject(answer.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private static long arrivals(HttpClient client, LoopbackServer engine) {
    return counters(client, engine).path("requests_started").asLong();
  }

  private static void print(
      Plan plan,
      HttpClient client,
      LoopbackServer engine,
      Calls calls,
      long arrived,
      PrintStream out) {
    long most = counters(client, engine).path("most_arrivals_in_4_s").asLong();
    double statedInWindow = plan.statedRate() * WINDOW_SECONDS;
    double used = arrived / (plan.statedRate() * plan.seconds());
    out.printf(
        "%-9s %8s %14s %14s %9s %6s%n",
        "gateways", "stated", "stated in 4 s", "most in 4 s", "refused", "used");
    out.printf(
        "%-9d %8.1f %14.1f %14d %9d %6.2f%n",
        plan.gateways(),
        plan.statedRate(),
        statedInWindow,
        most,
        calls.sent() - calls.completed(),
        used);
    ObjectNode json = JsonHttp.object();
    json.put("experiment", "rate").put("seed", plan.seed()).put("gateways", plan.gateways());
    json.put("stated_rate", plan.statedRate()).put("calls", calls.sent());
    json.put("completed", calls.completed());
    json.put("at_limited_engine", arrived).put("most_in_4_s", most);
    json.put("used", Math.round(used * 1_000) / 1_000.0);
    out.println(json);
  }

  private static void sleep(Duration time) {
    try {
      if (time.isPositive()) {
        Thread.sleep(time);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
