package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PlainService;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.runtime.platform.EntryCodec;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.wire.connection.ConnectionLimits;

/** Runs a gateway with fake sidecars, an in-memory platform and an HTTP client as the caller. */
final class GatewayFixture implements AutoCloseable {

  static final String KEY = "key-miller";
  static final ConnectionLimits LIMITS = new ConnectionLimits(8 << 20, 200, 60_000, 2_000);

  /** Timeout for any awaited condition; far above what a busy machine needs. */
  private static final long WAIT_SECONDS = 30;

  private static final long ANSWER_MILLIS = 60_000;

  final Map<String, FakeSidecar> sidecars = new LinkedHashMap<>();
  final Map<String, BackendServer> servers = new LinkedHashMap<>();
  final Deque<Consumer<FakeSidecar.Arrival>> script = new ArrayDeque<>();
  final List<FakeSidecar.Arrival> arrivals = new CopyOnWriteArrayList<>();
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final MemoryPlatform platform = new MemoryPlatform();
  private final Map<String, String> settings = new LinkedHashMap<>();
  // Prompts differ, so that no server is preferred for a cached prefix.
  private final AtomicLong questions = new AtomicLong();
  double requestsPerSecond = 100_000;
  private long version;
  private @org.jspecify.annotations.Nullable Gateway gateway;

  /** In-memory version of the platform's list. */
  private static final class MemoryPlatform implements ConfigurationSource {
    private final List<ConfigurationEntry> entries = new CopyOnWriteArrayList<>();
    volatile MembershipView members = MembershipView.EMPTY;

    @Override
    public List<ConfigurationEntry> entriesAfter(long afterPosition, long waitMillis) {
      if (afterPosition >= entries.size()) {
        pause();
      }
      List<ConfigurationEntry> all = List.copyOf(entries);
      return all.subList((int) Math.min(afterPosition, all.size()), all.size());
    }

    @Override
    public Optional<ConfigurationEntry> snapshot() {
      return Optional.empty();
    }

    @Override
    public MembershipView members() {
      return members;
    }

    private static void pause() {
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  GatewayFixture() {
    setting("process.id", "\"gateway-1\"");
    setting("process.failure_domain", "\"d1\"");
    setting("http.listen", "\"127.0.0.1:0\"");
    setting("operator.listen", "\"127.0.0.1:0\"");
    setting("platform.url", "\"http://127.0.0.1:1/\"");
    setting("drain.grace_ms", "0");
  }

  void setting(String key, String value) {
    settings.put(key, value);
  }

  FakeSidecar sidecar(String id) {
    return java.util.Objects.requireNonNull(sidecars.get(id));
  }

  FakeSidecar engine(String id) {
    FakeSidecar sidecar = new FakeSidecar(id, LIMITS, this::play);
    sidecars.put(id, sidecar);
    servers.put(
        id,
        new BackendServer(
            id,
            BackendServer.Kind.ENGINE,
            sidecar.address(),
            "d1",
            List.of("m"),
            "",
            4,
            8,
            false,
            false));
    return sidecar;
  }

  FakeSidecar service(String id) {
    FakeSidecar sidecar = new FakeSidecar(id, LIMITS, this::play);
    sidecars.put(id, sidecar);
    servers.put(
        id,
        new BackendServer(
            id,
            BackendServer.Kind.SERVICE,
            sidecar.address(),
            "d2",
            List.of(),
            "stock",
            4,
            8,
            false,
            false));
    return sidecar;
  }

  private synchronized void play(FakeSidecar.Arrival arrival) {
    arrivals.add(arrival);
    Consumer<FakeSidecar.Arrival> next = script.poll();
    (next == null ? Play.WHOLE : next).accept(arrival);
  }

  synchronized void script(Consumer<FakeSidecar.Arrival> step) {
    script.add(step);
  }

  GatewayFixture start() {
    publish(item -> item);
    gateway =
        Gateway.start(
            GatewaySettings.read(SettingsDocument.parse("test.toml", toml())),
            AuditOutput.to(
                new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8),
                "gateway-1"),
            platform);
    await("ready", () -> status("/health/ready") == 200);
    await(
        "connected",
        () -> sidecars.values().stream().noneMatch(sidecar -> sidecar.connections.isEmpty()));
    await("routable", () -> connectedServers() == servers.size());
    return this;
  }

  /** Publishes the configuration with one server removed. */
  void publishWithout(String removed) {
    publish(item -> item, List.of(removed));
  }

  /** Publishes the configuration with the given function applied to all servers. */
  void publish(UnaryOperator<BackendServer> change) {
    publish(change, List.of());
  }

  private void publish(UnaryOperator<BackendServer> change, List<String> removed) {
    Map<String, BackendServer> changed = new LinkedHashMap<>();
    servers.values().forEach(server -> changed.put(server.id(), change.apply(server)));
    List<String> ids = List.copyOf(changed.keySet());
    Patch patch =
        new Patch(
            version,
            "test",
            "2026-01-01T00:00:00Z",
            "test",
            new Patch.Items(
                Map.of(
                    "chat", new ServiceClass("chat", 0, 200, 40, ANSWER_MILLIS, ids),
                    "batch", new ServiceClass("batch", 3, 5_000, 1_000, ANSWER_MILLIS, ids),
                    "secret", new ServiceClass("secret", 1, 200, 40, ANSWER_MILLIS, ids)),
                Map.of(
                    "miller",
                    new Customer(
                        "miller", sha256(KEY), List.of("chat", "batch"), requestsPerSecond)),
                changed,
                Map.of(
                    "stock",
                    new PlainService(
                        "stock", List.of(new PlainService.OrderRule("POST", "/orders"))))),
            new Patch.RemovedNames(List.of(), List.of(), removed, List.of()));
    version++;
    platform.entries.add(
        EntryCodec.decode(
            platform.entries.size() + 1L, EntryCodec.PATCH, EntryCodec.patchBody(patch)));
  }

  void members(MembershipView members) {
    platform.members = members;
  }

  Gateway gateway() {
    return java.util.Objects.requireNonNull(gateway);
  }

  /** Blocks a sidecar's event loops, so that it sends no heartbeats either. */
  void freeze(FakeSidecar sidecar) {
    sidecar.frozen.set(new CountDownLatch(1));
    sidecar.block();
  }

  void thaw() {
    sidecars.values().forEach(sidecar -> sidecar.frozen.get().countDown());
  }

  URI uri(String path) {
    return URI.create("http://127.0.0.1:" + gateway().httpPort() + path);
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(uri(path)).header("Authorization", "Bearer " + KEY);
  }

  CompletableFuture<HttpResponse<String>> complete(boolean stream, String... headers) {
    HttpRequest.Builder request =
        request("/v1/chat/completions")
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    "{\"model\":\"m\",\"stream\":"
                        + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"question "
                        + questions.incrementAndGet()
                        + "\"}]}"));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> send(HttpRequest request) {
    return join(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
  }

  <T> T join(CompletableFuture<T> future) {
    return future.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  int status(String path) {
    return send(HttpRequest.newBuilder(uri(path)).build()).statusCode();
  }

  /** Returns the sum of the metric samples whose line contains all the given parts. */
  double metric(String... parts) {
    return send(HttpRequest.newBuilder(uri("/metrics")).build())
        .body()
        .lines()
        .filter(line -> !line.startsWith("#"))
        .filter(line -> List.of(parts).stream().allMatch(line::contains))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  double connectedServers() {
    return metric("shallothold_connected_servers");
  }

  static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "not in time: " + what);
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    Gateway running = gateway;
    if (running != null) {
      running.close();
    }
    sidecars.values().forEach(FakeSidecar::close);
    client.shutdownNow();
  }

  private String toml() {
    List<String> lines = new ArrayList<>();
    settings.forEach((key, value) -> lines.add(key + " = " + value));
    return String.join("\n", lines);
  }

  private static String sha256(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
