package org.shallothold.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.shallothold.standin.engine.EngineCounters.Counter;
import org.shallothold.standin.http.ServerLoop;

/**
 * Continuous batching: all running requests advance together in steps, and a request joins or
 * leaves the batch between two steps. Called only on the server's thread, which also runs the
 * steps.
 */
final class BatchScheduler {

  /** Most context tokens computed in one step, so that a long prompt doesn't stop the others. */
  private static final int PREFILL_TOKENS_PER_STEP = 512;

  /**
   * Steps are planned from the end of the last one, so that late timers don't add up. A delay above
   * this limit, such as a freeze, is not made up for.
   */
  private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final ServerLoop loop;
  private final int maxBatch;
  private final StepCosts costs;
  private final PrefixCache cache;
  private final EngineCounters counters;
  private final LoadHistory load;

  private final PriorityQueue<Completion> waiting =
      new PriorityQueue<>(
          Comparator.comparingLong(Completion::priority).thenComparingLong(Completion::arrival));
  private final List<Completion> running = new ArrayList<>();
  private double slowFactor = 1;
  private boolean stepping;
  private long stepEndNanos;

  BatchScheduler(
      ServerLoop loop,
      int maxBatch,
      StepCosts costs,
      PrefixCache cache,
      EngineCounters counters,
      LoadHistory load) {
    this.loop = loop;
    this.maxBatch = maxBatch;
    this.costs = costs;
    this.cache = cache;
    this.counters = counters;
    this.load = load;
  }

  /** Adds a request to those that wait. */
  void submit(Completion completion) {
    waiting.add(completion);
    recordLoad();
    if (!stepping) {
      startStep();
    }
  }

  /** Drops a request whose caller is gone; it takes no part in the next step. */
  void cancel(Completion completion) {
    if (running.contains(completion)) {
      leave(completion);
    } else if (!waiting.remove(completion)) {
      return;
    }
    counters.add(Counter.REQUESTS_CANCELLED, 1);
    counters.add(Counter.TOKENS_OF_UNFINISHED, completion.generatedTokens());
    recordLoad();
  }

  /** Sets by how much each step takes longer than its costs; 1 is normal. */
  void slowDown(double factor) {
    slowFactor = factor;
  }

  private void startStep() {
    admit();
    if (running.isEmpty()) {
      stepping = false;
      return;
    }
    int prefillTokens = 0;
    long contextTokens = 0;
    for (Completion completion : running) {
      prefillTokens += completion.prefill(PREFILL_TOKENS_PER_STEP - prefillTokens);
      contextTokens += completion.contextWords().size();
    }
    counters.add(Counter.PREFILL_TOKENS, prefillTokens);
    long duration =
        (long) (costs.stepNanos(running.size(), contextTokens, prefillTokens) * slowFactor);
    long now = System.nanoTime();
    boolean planned = stepping && now - stepEndNanos <= CATCH_UP_NANOS;
    stepping = true;
    stepEndNanos = (planned ? stepEndNanos : now) + duration;
    List<Completion> batch = List.copyOf(running);
    var unused = loop.schedule(Duration.ofNanos(stepEndNanos - now), () -> endStep(batch));
  }

  private void admit() {
    while (running.size() < maxBatch && !waiting.isEmpty()) {
      Completion completion = waiting.remove();
      running.add(completion);
      int cached = cache.lookUp(completion.model(), completion.contextWords());
      completion.beginPrefill(cached);
      counters.add(Counter.REQUESTS_STARTED, 1);
      counters.add(Counter.RESUMED_TOKENS, completion.resumedTokens());
      counters.add(Counter.RESUME_MISMATCHES, completion.resumesRightAnswer() ? 0 : 1);
      counters.add(Counter.PREFIX_CACHE_HITS, cached > 0 ? 1 : 0);
      counters.add(Counter.PREFIX_CACHE_HIT_TOKENS, cached);
      completion.writer().start();
    }
    recordLoad();
  }

  private void endStep(List<Completion> batch) {
    counters.add(Counter.STEPS, 1);
    for (Completion completion : batch) {
      if (running.contains(completion) && completion.prefilled()) {
        advance(completion);
      }
    }
    startStep();
  }

  private void advance(Completion completion) {
    if (completion.generatedTokens() == 0) {
      cache.store(completion.model(), completion.contextWords());
    }
    if (completion.cutHere()) {
      leave(completion);
      counters.add(Counter.STREAMS_CUT, 1);
      counters.add(Counter.TOKENS_OF_UNFINISHED, completion.generatedTokens());
      completion.writer().exchange().endEvents();
      return;
    }
    if (!completion.complete()) {
      counters.add(Counter.TOKENS_GENERATED, 1);
      completion.generateToken();
    }
    if (completion.complete() && !completion.cutHere()) {
      leave(completion);
      counters.add(Counter.REQUESTS_FINISHED, 1);
      completion.writer().finish(completion.answer().finishReason(), completion.usage());
    }
  }

  /** Takes a request out of the batch; what was computed for it stays in the cache. */
  private void leave(Completion completion) {
    running.remove(completion);
    if (completion.prefilled()) {
      cache.store(completion.model(), completion.contextWords());
    }
  }

  private void recordLoad() {
    load.record(System.nanoTime(), running.size(), waiting.size());
  }
}
