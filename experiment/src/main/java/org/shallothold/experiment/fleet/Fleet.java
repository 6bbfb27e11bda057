package org.shallothold.experiment.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.fleet.FleetPlan.ServerPlan;

/**
 * Stand-ins, sidecars and gateways as processes of their own on loopback. The stand-in of a backend
 * server has the server's id as its name, its sidecar {@code sidecar-ID}. Started by {@link
 * #start}; used by one thread at a time; {@link #close} ends every process.
 */
public final class Fleet implements AutoCloseable {

  /** Bound on the start of a process; a JVM on a busy machine needs several seconds. */
  public static final Duration START_BOUND = Duration.ofSeconds(45);

  /** A configuration must be in force everywhere within 13 s; twice that for a busy machine. */
  public static final Duration IN_FORCE_BOUND = Duration.ofSeconds(26);

  private static final String PLATFORM = "platform";
  private static final String LOOPBACK = "127.0.0.1:";

  /** Ports of a gateway or of a backend server with its sidecar. */
  private record PortSet(int first, int second, int third, int fourth) {
    static PortSet free() {
      return new PortSet(Ports.free(), Ports.free(), Ports.free(), Ports.free());
    }
  }

  private final FleetPlan plan;
  private final Path root;
  private final Path folder;
  private final URI platformAddress;
  private final PlatformControl platform;
  private final Map<String, PortSet> ports = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Map<String, Relay> relays = new LinkedHashMap<>();
  private long version;

  private Fleet(FleetPlan plan) {
    this.plan = plan;
    this.root = findRoot();
    try {
      this.folder = Files.createTempDirectory("shallothold-fleet-");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    int platformPort = Ports.free();
    this.platformAddress = http(platformPort);
    this.platform = new PlatformControl(platformAddress);
    addStandin(PLATFORM, "platform", platformPort, plan.platformOptions(), "counters");
    plan.servers().forEach(this::addServer);
    IntStream.rangeClosed(1, plan.gateways()).forEach(this::addGateway);
  }

  /** Starts all processes and waits until all are ready and hold the configuration. */
  public static Fleet start(FleetPlan plan) {
    Fleet fleet = new Fleet(plan);
    try {
      fleet.startAll();
      return fleet;
    } catch (RuntimeException | AssertionError e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the plan. */
  public FleetPlan plan() {
    return plan;
  }

  /** Returns the operators' side of the platform. */
  public PlatformControl platform() {
    return platform;
  }

  /** Returns a process by its name. */
  public ManagedProcess process(String name) {
    return require(processes, name);
  }

  /** Returns all processes. */
  public Collection<ManagedProcess> processes() {
    return List.copyOf(processes.values());
  }

  /** Returns the names of the gateways and sidecars. */
  public List<String> productProcesses() {
    return processes.keySet().stream()
        .filter(name -> name.startsWith("gateway-") || name.startsWith("sidecar-"))
        .toList();
  }

  /** Returns the address of a gateway's HTTP for callers. */
  public URI gateway(int number) {
    return http(portsOf("gateway-" + number).first());
  }

  /** Returns the address where the operators' command reaches a gateway or sidecar. */
  public String operatorAddress(String process) {
    return LOOPBACK
        + (process.startsWith("gateway-") ? portsOf(process).second() : portsOf(process).first());
  }

  /** Returns the address of a stand-in's HTTP. */
  public URI standin(String id) {
    return id.equals(PLATFORM) ? platformAddress : http(portsOf("sidecar-" + id).third());
  }

  /** Sets a fault of a backend server's stand-in. */
  public void setFault(String id, String name, Object value) {
    ObjectNode document = JsonHttp.object();
    document.set(name, JsonHttp.MAPPER.valueToTree(value));
    var unused = JsonHttp.call("POST", standin(id).resolve("faults"), bytes(document));
  }

  /** Returns the counters of an engine's stand-in; a missing node if it doesn't answer. */
  public JsonNode counters(String id) {
    return JsonHttp.get(standin(id).resolve("counters"))
        .map(JsonHttp.Reply::json)
        .orElseGet(JsonHttp.MAPPER::missingNode);
  }

  /** Returns how many times a service acted on each key. */
  public Map<String, Integer> ledger(String id) {
    JsonNode document =
        JsonHttp.get(standin(id).resolve("ledger"))
            .orElseThrow(() -> new IllegalStateException(id + " doesn't answer"))
            .json();
    Map<String, Integer> counts = new TreeMap<>();
    document
        .path("orders")
        .properties()
        .forEach(entry -> counts.put(entry.getKey(), entry.getValue().asInt()));
    return counts;
  }

  /** Returns the metrics of a gateway or sidecar by name with labels; empty without an answer. */
  public Map<String, Double> metrics(String process) {
    return JsonHttp.get(metricsAddress(process).resolve("metrics"))
        .map(reply -> MetricsText.parse(reply.body()))
        .orElse(Map.of());
  }

  /** Returns the sum of all samples of a metric, over its labels. */
  public double metric(String process, String name) {
    return metrics(process).entrySet().stream()
        .filter(entry -> entry.getKey().equals(name) || entry.getKey().startsWith(name + "{"))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  /** Returns the configuration version in force in a process; 0 if it has none. */
  public long versionInForce(String process) {
    return (long) metric(process, "shallothold_config_version_number");
  }

  /** Waits until a version, or a newer one, is in force in the processes. */
  public void awaitVersion(long wanted, Collection<String> names) {
    names.forEach(
        name ->
            Await.until(
                "version " + wanted + " is in force in " + name,
                IN_FORCE_BOUND,
                () -> versionInForce(name) >= wanted,
                () -> "It holds " + versionInForce(name) + ". " + process(name).logTail()));
  }

  /** Waits until every running sidecar is connected to every running gateway. */
  public void awaitConnected() {
    long gateways = running("gateway-").count();
    running("sidecar-")
        .forEach(
            name ->
                Await.until(
                    name + " is connected to " + gateways + " gateways",
                    START_BOUND,
                    () -> metric(name, "shallothold_sidecar_gateways") >= gateways,
                    () -> process(name).logTail()));
  }

  /** Returns the number of the newest version that was published through this fleet. */
  public long version() {
    return version;
  }

  /** Publishes a patch on the newest version, and returns the number that it creates. */
  public long publish(String reason, Patch.Items set, Patch.RemovedNames remove) {
    platform.publish(PlatformControl.patch(version, reason, set, remove));
    version++;
    return version;
  }

  /** Publishes a patch that sets one class. */
  public long publish(String reason, ServiceClass serviceClass) {
    return publish(
        reason,
        new Patch.Items(Map.of(serviceClass.name(), serviceClass), Map.of(), Map.of(), Map.of()),
        Patch.RemovedNames.NONE);
  }

  /** Returns a class as the fleet was started with it. */
  public ServiceClass serviceClass(String name) {
    return require(initialItems().classes(), name);
  }

  /** Returns a backend server as the fleet was started with it. */
  public BackendServer server(String id) {
    return require(initialItems().servers(), id);
  }

  /**
   * Returns the link from a gateway to a server's sidecar.
   *
   * @throws IllegalArgumentException if the fleet has no relays
   */
  public Relay.Link link(String gateway, String server) {
    return relay("sidecar-" + server).link(gateway);
  }

  /** Returns the link from a process to the platform. */
  public Relay.Link platformLink(String process) {
    return relay(process + "-to-platform").link("*");
  }

  /** Ends every process, and removes the folder of settings and logs. */
  @Override
  public void close() {
    processes.values().stream().filter(ManagedProcess::alive).forEach(ManagedProcess::kill);
    relays.values().forEach(Relay::close);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException("can't remove " + folder, e);
    }
  }

  private void startAll() {
    List<ManagedProcess> standins =
        processes.entrySet().stream()
            .filter(entry -> !productProcesses().contains(entry.getKey()))
            .map(Map.Entry::getValue)
            .toList();
    standins.forEach(ManagedProcess::start);
    process(PLATFORM).awaitReady(START_BOUND);
    platform.publishMembers();
    publish("first configuration", initialItems(), Patch.RemovedNames.NONE);
    productProcesses().forEach(name -> process(name).start());
    processes.values().forEach(process -> process.awaitReady(START_BOUND));
    awaitVersion(version, productProcesses());
    awaitConnected();
  }

  private Stream<String> running(String prefix) {
    return productProcesses().stream()
        .filter(name -> name.startsWith(prefix) && process(name).alive());
  }

  private void addServer(ServerPlan server) {
    String sidecar = "sidecar-" + server.id();
    PortSet own = PortSet.free();
    ports.put(sidecar, own);
    addStandin(
        server.id(),
        server.engine() ? "engine" : "service",
        own.third(),
        server.engine()
            ? Stream.concat(Stream.of("--models", FleetPlan.MODEL), server.options().stream())
                .toList()
            : Stream.concat(
                    Stream.of("--ledger", folder.resolve(server.id() + ".ledger").toString()),
                    server.options().stream())
                .toList(),
        server.engine() ? "load" : "ledger");
    if (plan.relayed()) {
      relays.put(sidecar, Relay.start(own.fourth(), own.first(), plan.delay(), Relay.Naming.HELLO));
    }
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("process.server_id", quoted(server.id()));
    settings.put("process.failure_domain", quoted(server.failureDomain()));
    settings.put("listen.address", quoted(LOOPBACK + own.first()));
    settings.put("metrics.listen", quoted(LOOPBACK + own.second()));
    settings.put("backend.url", quoted(http(own.third()).toString()));
    settings.put("platform.url", quoted(platformFor(sidecar).toString()));
    addProduct(sidecar, "sidecar", settings, "health/live");
    platform.putMember(sidecar, addressOf(server.id()), server.id(), server.failureDomain(), false);
  }

  private void addGateway(int number) {
    String name = "gateway-" + number;
    PortSet own = PortSet.free();
    ports.put(name, own);
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("process.id", quoted(name));
    settings.put("process.failure_domain", quoted(plan.gatewayDomain(number)));
    settings.put("http.listen", quoted(LOOPBACK + own.first()));
    settings.put("operator.listen", quoted(LOOPBACK + own.second()));
    settings.put("platform.url", quoted(platformFor(name).toString()));
    addProduct(name, "gateway", settings, "health/ready");
    platform.putMember(name, LOOPBACK + own.first(), "", plan.gatewayDomain(number), false);
  }

  private void addStandin(
      String name, String kind, int port, List<String> options, String readyPath) {
    List<String> command = new ArrayList<>();
    command.addAll(List.of(root.resolve("bin/standin").toString(), kind));
    command.addAll(List.of("--port", Integer.toString(port)));
    command.addAll(options);
    addProcess(name, command, answers(http(port).resolve(readyPath)));
  }

  private void addProduct(
      String name, String role, Map<String, String> settings, String readyPath) {
    plan.settings()
        .forEach(
            (key, value) -> {
              if (key.startsWith(role + ".")) {
                settings.put(key.substring(role.length() + 1), value);
              }
            });
    Path file = folder.resolve(name + ".toml");
    try {
      Files.writeString(file, toml(settings));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    addProcess(
        name,
        List.of(root.resolve("bin/shallothold-" + role).toString(), "--settings", file.toString()),
        answers(metricsAddress(name).resolve(readyPath)));
  }

  private void addProcess(String name, List<String> command, BooleanSupplier ready) {
    processes.put(name, new ManagedProcess(name, command, folder, ready));
  }

  private URI platformFor(String process) {
    if (!plan.relayed()) {
      return platformAddress;
    }
    int port = Ports.free();
    relays.put(
        process + "-to-platform",
        Relay.start(port, platformAddress.getPort(), Duration.ZERO, Relay.Naming.SINGLE));
    return http(port);
  }

  private Patch.Items initialItems() {
    List<String> allServers = plan.servers().stream().map(ServerPlan::id).toList();
    Map<String, ServiceClass> classes =
        plan.classes().stream()
            .map(
                item ->
                    item.servers().isEmpty()
                        ? new ServiceClass(
                            item.name(),
                            item.tier(),
                            item.firstTokenTargetMillis(),
                            item.tokenIntervalTargetMillis(),
                            item.answerTargetMillis(),
                            allServers)
                        : item)
            .collect(Collectors.toMap(ServiceClass::name, item -> item));
    List<String> classNames = plan.classes().stream().map(ServiceClass::name).toList();
    Map<String, Customer> customers =
        plan.customers().entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    entry ->
                        new Customer(
                            entry.getKey(),
                            sha256(FleetPlan.key(entry.getKey())),
                            classNames,
                            entry.getValue())));
    Map<String, BackendServer> servers =
        plan.servers().stream()
            .map(
                server ->
                    new BackendServer(
                        server.id(),
                        server.engine() ? BackendServer.Kind.ENGINE : BackendServer.Kind.SERVICE,
                        addressOf(server.id()),
                        server.failureDomain(),
                        server.engine() ? List.of(FleetPlan.MODEL) : List.of(),
                        server.engine() ? "" : FleetPlan.SERVICE,
                        server.maxRunning(),
                        server.maxWaiting(),
                        server.options().contains("--checks-fencing"),
                        false))
            .collect(Collectors.toMap(BackendServer::id, item -> item));
    return new Patch.Items(
        classes, customers, servers, Map.of(FleetPlan.SERVICE, FleetPlan.ORDER_SERVICE));
  }

  private String addressOf(String server) {
    PortSet own = portsOf("sidecar-" + server);
    return LOOPBACK + (plan.relayed() ? own.fourth() : own.first());
  }

  private URI metricsAddress(String process) {
    PortSet own = portsOf(process);
    return http(process.startsWith("gateway-") ? own.first() : own.second());
  }

  private PortSet portsOf(String name) {
    return require(ports, name);
  }

  private Relay relay(String name) {
    return require(relays, name);
  }

  private static <T> T require(Map<String, T> items, String name) {
    T item = items.get(name);
    if (item == null) {
      throw new IllegalArgumentException("no " + name + " in " + items.keySet());
    }
    return item;
  }

  private static BooleanSupplier answers(URI address) {
    return () -> JsonHttp.get(address).filter(reply -> reply.status() == 200).isPresent();
  }

  private static URI http(int port) {
    return URI.create("http://" + LOOPBACK + port + "/");
  }

  private static String quoted(String text) {
    return '"' + text + '"';
  }

  /** Returns a TOML document of values by section and key. */
  private static String toml(Map<String, String> settings) {
    Map<String, List<String>> sections = new LinkedHashMap<>();
    settings.forEach(
        (path, value) -> {
          int dot = path.indexOf('.');
          sections
              .computeIfAbsent(path.substring(0, dot), section -> new ArrayList<>())
              .add(path.substring(dot + 1) + " = " + value);
        });
    return sections.entrySet().stream()
        .map(
            section ->
                "[" + section.getKey() + "]\n" + String.join("\n", section.getValue()) + "\n")
        .collect(Collectors.joining("\n"));
  }

  private static byte[] bytes(JsonNode document) {
    return document.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static String sha256(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Returns the folder above the working directory or this class's jar that holds bin/. */
  private static Path findRoot() {
    Path start =
        Path.of(
            URI.create(Fleet.class.getProtectionDomain().getCodeSource().getLocation().toString()));
    return Stream.iterate(start, path -> path != null, Path::getParent)
        .filter(path -> Files.isExecutable(path.resolve("bin/standin")))
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no bin/standin above " + start));
  }
}
