package org.shallothold.experiment.load;

import java.lang.management.ManagementFactory;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.shallothold.experiment.caller.Caller;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.caller.OrderResult;
import org.shallothold.experiment.caller.Outcome;
import org.shallothold.experiment.fleet.Await;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.FleetPlan.ServerPlan;
import org.shallothold.experiment.load.Workload.Arrival;

/**
 * One run: starts the fleet, sends the workload as an open loop, and collects what came of it. Used
 * once, by one thread.
 */
public final class LoadRun {

  private static final Duration WARM_UP = Duration.ofSeconds(6);

  /** After the last arrival; what still runs then is given up and counted so. */
  private static final Duration DRAIN_BOUND = Duration.ofSeconds(20);

  private static final Duration ORDER_PAUSE = Duration.ofMillis(500);
  private static final int RETRIES = 3;

  /** A result with the time at which its request was sent, from the start of the load. */
  record Sent(long atNanos, CompletionResult result) {}

  private final LoadOptions options;
  private final Workload workload;
  private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicBoolean loadEnded = new AtomicBoolean();
  private final AtomicInteger ordersSent = new AtomicInteger();
  private long lostCounters;
  private long startNanos;
  private long preemptions;

  private LoadRun(LoadOptions options) {
    this.options = options;
    this.workload =
        new Workload(
            options.seed(),
            options.load() * options.setUp().capacityTokensPerSecond(),
            options.burst(),
            WARM_UP,
            Duration.ofSeconds(options.seconds()));
  }

  /** Runs and returns the report. */
  public static LoadReport run(LoadOptions options) {
    return new LoadRun(options).run();
  }

  /** Returns the machine's load average over a minute, to judge how far figures were disturbed. */
  static double loadAverage() {
    return Math.round(ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage() * 10)
        / 10.0;
  }

  private LoadReport run() {
    FleetPlan plan =
        options
            .setUp()
            .plan(options.routing(), options.queue())
            .withSetting("sidecar", "queue", "max_preemptions", "" + options.maxPreemptions());
    try (Fleet fleet = Fleet.start(plan);
        Caller caller = Caller.create(Workload.CUSTOMERS.getFirst())) {
      options.fault().prepare(fleet);
      startNanos = System.nanoTime();
      Thread orders = Thread.ofVirtual().start(() -> sendOrders(fleet, caller));
      Thread faults = Thread.ofVirtual().start(() -> strike(fleet));
      sendAll(fleet, caller, workload.arrivals());
      awaitDrained();
      loadEnded.set(true);
      orders.join();
      faults.join();
      return report(fleet);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted during a run", e);
    }
  }

  private void sendAll(Fleet fleet, Caller caller, List<Arrival> arrivals) {
    int number = 0;
    for (Arrival arrival : arrivals) {
      pauseUntil(arrival.atNanos());
      URI gateway = fleet.gateway(number++ % fleet.plan().gateways() + 1);
      pending.incrementAndGet();
      send(caller, gateway, arrival.request(), RETRIES);
    }
  }

  private void send(Caller caller, URI gateway, CompletionRequest request, int retriesLeft) {
    long at = System.nanoTime() - startNanos;
    var unused =
        caller
            .send(gateway, request)
            .whenComplete(
                (result, failure) -> {
                  if (result != null) {
                    sent.add(new Sent(at, result));
                  }
                  if (result != null
                      && result.outcome() == Outcome.NOT_RUN
                      && options.fault() == Fault.RETRYING_CALLERS
                      && retriesLeft > 0) {
                    CompletableFuture.delayedExecutor(
                            Math.max(1, result.retryAfterSeconds()), TimeUnit.SECONDS)
                        .execute(() -> send(caller, gateway, request, retriesLeft - 1));
                  } else {
                    pending.decrementAndGet();
                  }
                });
  }

  /** Sends an order twice a second, each through two gateways under one ticket. */
  private void sendOrders(Fleet fleet, Caller caller) {
    int gateways = fleet.plan().gateways();
    List<CompletableFuture<OrderResult>> results = new ArrayList<>();
    for (int number = 0; !loadEnded.get(); number++) {
      URI first = fleet.gateway(number % gateways + 1);
      URI second = fleet.gateway((number + 1) % gateways + 1);
      String ticket = caller.ticket(first, FleetPlan.SERVICE);
      if (!ticket.isEmpty()) {
        String body = "{\"order\": " + number + "}";
        results.add(caller.order(first, FleetPlan.SERVICE, body, ticket));
        results.add(caller.order(second, FleetPlan.SERVICE, body, ticket));
        ordersSent.incrementAndGet();
      }
      Await.pause(ORDER_PAUSE);
    }
    for (CompletableFuture<OrderResult> result : results) {
      try {
        OrderResult unused = result.get(DRAIN_BOUND.toSeconds(), TimeUnit.SECONDS);
      } catch (ExecutionException | TimeoutException e) {
        // Counted in the services' ledgers, not here.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void strike(Fleet fleet) {
    long third = workload.measured().toNanos() / 3;
    pauseUntil(workload.warmUp().toNanos() + third);
    lostCounters = options.fault().strike(fleet);
    pauseUntil(workload.warmUp().toNanos() + 2 * third);
    options.fault().heal(fleet);
  }

  private void awaitDrained() {
    long end = System.nanoTime() + DRAIN_BOUND.toNanos();
    while (pending.get() > 0 && System.nanoTime() - end < 0) {
      Await.pause(Duration.ofMillis(20));
    }
  }

  private LoadReport report(Fleet fleet) {
    long generated = lostCounters;
    Map<String, Integer> ledger = new TreeMap<>();
    for (ServerPlan server : fleet.plan().servers()) {
      if (server.engine()) {
        generated += fleet.counters(server.id()).path("tokens_generated").asLong();
      } else {
        ledger.putAll(fleet.ledger(server.id()));
      }
    }
    Map<String, Double> wasted = new TreeMap<>();
    for (String process : fleet.productProcesses()) {
      fleet
          .metrics(process)
          .forEach(
              (name, value) -> {
                if (name.startsWith("shallothold_sidecar_preemptions_total")) {
                  preemptions += Math.round(value);
                }
                if (name.contains("wasted") && value > 0) {
                  String role = process.startsWith("gateway-") ? "gateway " : "sidecar ";
                  wasted.merge(role + label(name, "cause"), value, Double::sum);
                }
              });
    }
    return LoadReport.of(
        options,
        workload,
        List.copyOf(sent),
        pending.get(),
        generated,
        wasted,
        preemptions,
        ordersSent.get(),
        ledger);
  }

  private static String label(String sample, String label) {
    int start = sample.indexOf(label + "=\"");
    return start < 0
        ? "other"
        : sample.substring(
            start + label.length() + 2, sample.indexOf('"', start + label.length() + 2));
  }

  private void pauseUntil(long atNanos) {
    long left = atNanos - (System.nanoTime() - startNanos);
    if (left > 0) {
      Await.pause(Duration.ofNanos(left));
    }
  }
}
