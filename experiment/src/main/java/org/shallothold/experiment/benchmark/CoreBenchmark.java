package org.shallothold.experiment.benchmark;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.core.queue.ScheduledRequest;
import org.shallothold.core.queue.SchedulerAction;
import org.shallothold.core.queue.SchedulerOptions;
import org.shallothold.core.routing.SelectionPolicy;
import org.shallothold.core.routing.ServerSelector;
import org.shallothold.core.routing.ServerView;
import org.shallothold.core.stream.AnswerAssembler;
import org.shallothold.core.stream.FrameOutcome;
import org.shallothold.runtime.platform.EntryCodec;

/** Time of one decision of the core at several sizes. Made by JMH, one per thread. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class CoreBenchmark {

  private static final int SLOTS = 8;
  private static final int ANSWER_TOKENS = 100;

  /** Waiting requests, candidates or configured servers, by benchmark. */
  @Param({"16", "64", "256"})
  public int size;

  private BackendScheduler scheduler = BackendScheduler.create(SchedulerOptions.DEFAULT);
  private final Set<Long> running = new LinkedHashSet<>();
  private long lastId;
  private long now;
  private List<ServerView> candidates = List.of();
  private ServerSelector selector = ServerSelector.of(SelectionPolicy.OWN_COUNTS);
  private final Random random = new Random(1);
  private ConfigurationHistory history = ConfigurationHistory.create();

  /** Fills the queue, the candidates and the configuration. */
  @Setup
  public void fill() {
    scheduler = BackendScheduler.create(SchedulerOptions.DEFAULT);
    running.clear();
    track(scheduler.setLimits(SLOTS, size, now));
    for (int number = 0; number < SLOTS + size - 1; number++) {
      submitOne();
    }
    selector = ServerSelector.of(SelectionPolicy.OWN_COUNTS);
    candidates =
        IntStream.range(0, size)
            .mapToObj(
                number ->
                    new ServerView(
                        "server-" + number, number % 100, 1, 4, 0, 100, 4, 8, 27_000, false))
            .toList();
    history = ConfigurationHistory.create();
    Map<String, BackendServer> servers = new HashMap<>();
    for (int number = 0; number < size; number++) {
      servers.put("server-" + number, server(number, false));
    }
    apply(servers);
  }

  /** One request comes and one ends, with a full queue. */
  @Benchmark
  public int schedule() {
    now += 10;
    long ended = running.iterator().next();
    running.remove(ended);
    track(scheduler.finish(ended, now));
    submitOne();
    return running.size();
  }

  /** One choice among all candidates. */
  @Benchmark
  public boolean select() {
    return selector.select(candidates, random).isPresent();
  }

  /** One patch of one server, decoded and applied to a configuration of all servers. */
  @Benchmark
  public PatchOutcome applyPatch() {
    return apply(Map.of("server-0", server(0, now++ % 2 == 0)));
  }

  /** One answer of 100 frames with one token each; the size doesn't matter. */
  @Benchmark
  public FrameOutcome assemble() {
    AnswerAssembler assembler = AnswerAssembler.create(1_000_000);
    assembler.begin(1);
    for (int offset = 0; offset < ANSWER_TOKENS; offset++) {
      FrameOutcome unused = assembler.accept(1, offset, List.of(" token"));
    }
    return assembler.finish(1, ANSWER_TOKENS);
  }

  private void submitOne() {
    lastId++;
    track(
        scheduler.submit(
            new ScheduledRequest(
                lastId,
                "class-" + lastId % 4,
                (int) (lastId % 4),
                "customer-" + lastId % 10,
                now + 36_000_000,
                true),
            now));
  }

  private void track(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Start(ScheduledRequest work)) {
        running.add(work.id());
      } else if (action instanceof SchedulerAction.Preempt(ScheduledRequest work)) {
        running.remove(work.id());
      }
    }
  }

  private PatchOutcome apply(Map<String, BackendServer> servers) {
    Patch patch =
        new Patch(
            history.current().version().number(),
            "benchmark",
            "2026-01-01T08:00:00Z",
            "measured",
            new Patch.Items(Map.of(), Map.of(), servers, Map.of()),
            Patch.RemovedNames.NONE);
    byte[] body = EntryCodec.patchBody(patch);
    ConfigurationEntry entry =
        EntryCodec.decode(history.lastPosition() + 1, EntryCodec.PATCH, body);
    PatchOutcome outcome = history.apply(entry);
    if (!(outcome instanceof PatchOutcome.Accepted)) {
      throw new IllegalStateException(
          "rejected: " + outcome + new String(body, StandardCharsets.UTF_8));
    }
    return outcome;
  }

  private static BackendServer server(int number, boolean draining) {
    return new BackendServer(
        "server-" + number,
        BackendServer.Kind.ENGINE,
        "127.0.0.1:" + (7_000 + number),
        "hopper-hall",
        List.of("model"),
        "",
        SLOTS,
        32,
        true,
        draining);
  }
}
