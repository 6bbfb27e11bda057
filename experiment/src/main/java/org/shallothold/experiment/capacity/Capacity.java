package org.shallothold.experiment.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.caller.Caller;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.fleet.Await;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.ManagedProcess;
import org.shallothold.runtime.platform.EntryCodec;

/** Measures what one process costs at doubling sizes; each part takes less than a minute. */
public final class Capacity {

  private static final Duration WINDOW = Duration.ofSeconds(5);
  private static final Duration SETTLE = Duration.ofSeconds(2);

  /** Compiling costs an idle process more than its work in the first seconds after its start. */
  private static final Duration WARM_UP = Duration.ofSeconds(12);

  private static final int STREAM_TOKENS = 400;
  private static final int CHANGES = 40;
  private static final long CHANGE_PAUSE_MILLIS = 100;
  private static final int SERVERS_PER_PATCH = 1_000;

  private final PrintStream out;
  private final Random random;
  private final ObjectNode json;
  private final ArrayNode points;
  private final Map<String, List<Line.Point>> lines = new TreeMap<>();

  private Capacity(Part part, long seed, PrintStream out) {
    this.out = out;
    this.random = new Random(seed);
    this.json = org.shallothold.experiment.fleet.JsonHttp.object();
    json.put("experiment", "capacity").put("part", part.option()).put("seed", seed);
    points = json.putArray("points");
  }

  /** What is varied. */
  public enum Part {
    /** Gateways connected to one idle sidecar. */
    SIDECAR_PEERS,
    /** Sidecars connected to one idle gateway. */
    GATEWAY_PEERS,
    /** Servers in the configuration, and changes of it. */
    CONFIGURATION,
    /** Concurrent streams through one gateway and one sidecar. */
    STREAMS,
    /** Reads of the platform by sidecars of one failure domain, and time until in force. */
    PLATFORM,
    /** Start time and resident memory of each process. */
    START;

    /** Returns the name on the command line. */
    public String option() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Runs a part, and prints a table and, as the last line, one JSON object. */
  public static void run(Part part, long seed, PrintStream out) {
    Capacity capacity = new Capacity(part, seed, out);
    switch (part) {
      case SIDECAR_PEERS -> capacity.sidecarPeers();
      case GATEWAY_PEERS -> capacity.gatewayPeers();
      case CONFIGURATION -> capacity.configuration();
      case STREAMS -> capacity.streams();
      case PLATFORM -> capacity.platform();
      case START -> capacity.start();
    }
    capacity.finish();
  }

  private void sidecarPeers() {
    try (Fleet fleet = Fleet.start(FleetPlan.of(0, 1, 0));
        SyntheticPeers peers = SyntheticPeers.create()) {
      InetSocketAddress address = socket(fleet.operatorAddress("sidecar-engine-1"));
      Await.pause(WARM_UP);
      for (int count = 8; count <= 256; count *= 2) {
        for (int number = peers.connected(); number < count; number++) {
          peers.addGateway(address, number);
        }
        measurePeers(fleet.process("sidecar-engine-1"), peers, count);
      }
    }
  }

  private void gatewayPeers() {
    FleetPlan plan = FleetPlan.of(1, 0, 0).withSetting("gateway", "routing", "subset_size", "512");
    try (Fleet fleet = Fleet.start(plan);
        SyntheticPeers peers = SyntheticPeers.create()) {
      Map<String, BackendServer> servers = new LinkedHashMap<>();
      ServiceClass urgent = fleet.serviceClass("urgent");
      Await.pause(WARM_UP);
      for (int count = 8; count <= 256; count *= 2) {
        for (int number = servers.size(); number < count; number++) {
          String id = "synthetic-" + number;
          servers.put(id, server(id, peers.addSidecar(id, number)));
        }
        long unused =
            fleet.publish(
                "more servers",
                new Patch.Items(
                    Map.of(
                        "urgent",
                        new ServiceClass(
                            "urgent",
                            urgent.tier(),
                            urgent.firstTokenTargetMillis(),
                            urgent.tokenIntervalTargetMillis(),
                            urgent.answerTargetMillis(),
                            List.copyOf(servers.keySet()))),
                    Map.of(),
                    servers,
                    Map.of()),
                Patch.RemovedNames.NONE);
        measurePeers(fleet.process("gateway-1"), peers, count);
      }
    }
  }

  private void measurePeers(ManagedProcess process, SyntheticPeers peers, int count) {
    Await.until(
        count + " peers are connected", Fleet.START_BOUND, () -> peers.connected() >= count);
    Await.pause(SETTLE);
    long bytes = peers.bytes();
    long frames = peers.frames();
    double cpuMillis = cpuMillisOver(process);
    add(
        "peers",
        count,
        Map.of(
            "cpu_percent", cpuMillis * 100 / WINDOW.toMillis(),
            "resident_mb", megabytes(process),
            "sent_bytes_per_second", (peers.bytes() - bytes) / (double) WINDOW.toSeconds(),
            "sent_frames_per_second", (peers.frames() - frames) / (double) WINDOW.toSeconds()));
  }

  private void configuration() {
    try (Fleet fleet = Fleet.start(FleetPlan.of(1, 1, 0))) {
      Map<String, BackendServer> servers = new LinkedHashMap<>();
      for (int count : new int[] {600, 1_200, 2_400, 4_800}) {
        long publishedAt = System.nanoTime();
        for (int from = servers.size(); from < count; from += SERVERS_PER_PATCH) {
          Map<String, BackendServer> more = new LinkedHashMap<>();
          for (int number = from; number < Math.min(count, from + SERVERS_PER_PATCH); number++) {
            String id = "synthetic-" + number;
            more.put(id, server(id, 1 + number));
          }
          servers.putAll(more);
          long unused =
              fleet.publish(
                  "more servers",
                  new Patch.Items(Map.of(), Map.of(), more, Map.of()),
                  Patch.RemovedNames.NONE);
        }
        fleet.awaitVersion(fleet.version(), fleet.productProcesses());
        double seconds = (System.nanoTime() - publishedAt) / 1e9;
        Map<String, Double> values = new HashMap<>();
        values.put("snapshot_kb", snapshotBytes(servers) / 1_000.0);
        values.put("seconds_to_publish_all", seconds);
        addChangeCosts(fleet, values);
        for (String name : fleet.productProcesses()) {
          values.put("resident_mb_" + role(name), megabytes(fleet.process(name)));
        }
        add("servers", count, values);
      }
    }
  }

  /** Measures the CPU time of one change, over that of the same time without changes. */
  private void addChangeCosts(Fleet fleet, Map<String, Double> values) {
    Map<String, Double> idle = new HashMap<>();
    Duration window = Duration.ofMillis(CHANGES * CHANGE_PAUSE_MILLIS);
    fleet.productProcesses().forEach(name -> idle.put(name, cpuMillis(fleet.process(name))));
    Await.pause(window);
    fleet
        .productProcesses()
        .forEach(name -> idle.merge(name, cpuMillis(fleet.process(name)), (a, b) -> b - a));
    Map<String, Double> before = new HashMap<>();
    fleet.productProcesses().forEach(name -> before.put(name, cpuMillis(fleet.process(name))));
    long end = System.nanoTime() + window.toNanos();
    ServiceClass bulk = fleet.serviceClass("bulk");
    for (int change = 0; change < CHANGES; change++) {
      long unused =
          fleet.publish(
              "a small change",
              new ServiceClass(
                  "bulk", 3, 10_000, 200, 60_000 + random.nextInt(1_000), bulk.servers()));
      Await.pause(Duration.ofMillis(CHANGE_PAUSE_MILLIS));
    }
    fleet.awaitVersion(fleet.version(), fleet.productProcesses());
    double longer = 1 + Math.max(0, System.nanoTime() - end) / (double) window.toNanos();
    for (String name : fleet.productProcesses()) {
      double used = cpuMillis(fleet.process(name)) - before.getOrDefault(name, 0.0);
      values.put(
          "cpu_ms_per_change_" + role(name),
          (used - idle.getOrDefault(name, 0.0) * longer) / CHANGES);
    }
  }

  private void streams() {
    FleetPlan plan =
        FleetPlan.of(1, 1, 0).withEngines(128, 256, "--max-batch", "128", "--step-base-ms", "20");
    try (Fleet fleet = Fleet.start(plan);
        Caller caller = Caller.create()) {
      AtomicLong tokens = new AtomicLong();
      for (int streams = 8; streams <= 128; streams *= 2) {
        AtomicBoolean stopped = new AtomicBoolean();
        for (int number = 0; number < streams; number++) {
          keepStreaming(fleet, caller, tokens, stopped);
        }
        Await.pause(SETTLE.plus(SETTLE));
        long before = tokens.get();
        double gateway = cpuMillis(fleet.process("gateway-1"));
        double sidecar = cpuMillis(fleet.process("sidecar-engine-1"));
        Await.pause(WINDOW);
        double rate = (tokens.get() - before) / (double) WINDOW.toSeconds();
        gateway = cpuMillis(fleet.process("gateway-1")) - gateway;
        sidecar = cpuMillis(fleet.process("sidecar-engine-1")) - sidecar;
        stopped.set(true);
        add(
            "tokens_per_second",
            rate,
            Map.of(
                "streams",
                (double) streams,
                "cpu_percent_gateway",
                gateway * 100 / WINDOW.toMillis(),
                "cpu_percent_sidecar",
                sidecar * 100 / WINDOW.toMillis(),
                "resident_mb_gateway",
                megabytes(fleet.process("gateway-1")),
                "resident_mb_sidecar",
                megabytes(fleet.process("sidecar-engine-1"))));
        Await.until(
            "streams have ended",
            Fleet.START_BOUND,
            () -> fleet.metric("sidecar-engine-1", "shallothold_sidecar_running_requests") == 0);
      }
    }
  }

  private void keepStreaming(Fleet fleet, Caller caller, AtomicLong tokens, AtomicBoolean stopped) {
    CompletionRequest request =
        CompletionRequest.of("Question " + random.nextLong(), STREAM_TOKENS);
    AtomicLong seen = new AtomicLong();
    var unused =
        caller
            .send(
                fleet.gateway(1), request, count -> tokens.addAndGet(count - seen.getAndSet(count)))
            .thenAccept(
                result -> {
                  if (!stopped.get()) {
                    keepStreaming(fleet, caller, tokens, stopped);
                  }
                });
  }

  private void platform() {
    List<FleetPlan.ServerPlan> servers = new ArrayList<>();
    for (int number = 1; number <= 8; number++) {
      servers.add(
          new FleetPlan.ServerPlan("engine-" + number, true, "hopper-hall", 8, 32, List.of()));
    }
    try (Fleet fleet = Fleet.start(FleetPlan.of(0, 0, 0).withServers(servers))) {
      Await.pause(SETTLE);
      var before = fleet.platform().counters();
      Duration window = Duration.ofSeconds(30);
      Await.pause(window);
      var after = fleet.platform().counters();
      Map<String, Double> values = new HashMap<>();
      for (String counter : List.of("entry_reads", "member_reads", "snapshot_reads")) {
        values.put(
            counter + "_per_second",
            (after.path(counter).asLong() - before.path(counter).asLong())
                / (double) window.toSeconds());
      }
      values.put("pending_watches", after.path("pending_watches").asDouble());
      add("processes_of_one_domain", servers.size(), values);
    }
    for (int engines : new int[] {2, 4, 8}) {
      try (Fleet fleet = Fleet.start(FleetPlan.of(2, engines, 0))) {
        List<Double> millis = new ArrayList<>();
        for (int change = 0; change < 10; change++) {
          long start = System.nanoTime();
          ServiceClass bulk = fleet.serviceClass("bulk");
          long version =
              fleet.publish(
                  "a small change",
                  new ServiceClass("bulk", 3, 10_000, 200, 60_001 + change, bulk.servers()));
          fleet.awaitVersion(version, fleet.productProcesses());
          millis.add((System.nanoTime() - start) / 1e6);
        }
        millis.sort(Double::compare);
        add(
            "processes",
            engines + 2,
            Map.of(
                "in_force_ms_median", millis.get(millis.size() / 2),
                "in_force_ms_slowest", millis.getLast()));
      }
    }
  }

  private void start() {
    try (Fleet fleet = Fleet.start(FleetPlan.of(1, 1, 1))) {
      Await.pause(SETTLE);
      for (String name : List.of("gateway-1", "sidecar-engine-1", "sidecar-service-1")) {
        ManagedProcess process = fleet.process(name);
        List<Double> seconds = new ArrayList<>();
        for (int run = 0; run < 3; run++) {
          process.kill();
          long start = System.nanoTime();
          process.start();
          process.awaitReady(Fleet.START_BOUND);
          seconds.add((System.nanoTime() - start) / 1e9);
        }
        Await.pause(SETTLE);
        seconds.sort(Double::compare);
        add(
            "runs_of_" + name,
            seconds.size(),
            Map.of(
                "start_seconds_median", seconds.get(1),
                "start_seconds_slowest", seconds.getLast(),
                "resident_mb_idle", megabytes(process)));
      }
    }
  }

  private void add(String unit, double size, Map<String, Double> values) {
    Map<String, Double> sorted = new TreeMap<>(values);
    ObjectNode point = points.addObject().put(unit, round(size));
    out.printf("%s %.0f:", unit, size);
    sorted.forEach(
        (name, value) -> {
          point.put(name, round(value));
          out.printf("  %s %.2f", name, value);
          lines
              .computeIfAbsent(name + " per " + unit, key -> new ArrayList<>())
              .add(new Line.Point(size, value));
        });
    out.println();
  }

  private void finish() {
    ObjectNode slopes = json.putObject("slopes");
    lines.forEach(
        (name, measured) -> {
          if (measured.size() >= 3) {
            Line line = Line.through(measured);
            slopes
                .putObject(name)
                .put("slope", line.slope())
                .put("intercept", round(line.intercept()))
                .put("r_squared", round(line.rSquared()));
            out.printf(
                "%s: %.3f + %.6f x, r2 %.3f%n",
                name, line.intercept(), line.slope(), line.rSquared());
          }
        });
    out.println(json);
  }

  private static double cpuMillisOver(ManagedProcess process) {
    double before = cpuMillis(process);
    Await.pause(WINDOW);
    return cpuMillis(process) - before;
  }

  private static double cpuMillis(ManagedProcess process) {
    return process.cpuTime().orElse(Duration.ZERO).toNanos() / 1e6;
  }

  private static double megabytes(ManagedProcess process) {
    return process.residentBytes() / 1e6;
  }

  private static String role(String process) {
    return process.substring(0, process.indexOf('-'));
  }

  private static BackendServer server(String id, int port) {
    return new BackendServer(
        id,
        BackendServer.Kind.ENGINE,
        "127.0.0.1:" + port,
        "hopper-hall",
        List.of(FleetPlan.MODEL),
        "",
        8,
        32,
        true,
        false);
  }

  private static int snapshotBytes(Map<String, BackendServer> servers) {
    Configuration configuration =
        new Configuration(ConfigurationVersion.INITIAL, Map.of(), Map.of(), servers, Map.of());
    return EntryCodec.snapshotBody(configuration, 1).length;
  }

  private static InetSocketAddress socket(String address) {
    List<String> parts = Arrays.asList(address.split(":", -1));
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), Integer.parseInt(parts.getLast()));
  }

  private static double round(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
