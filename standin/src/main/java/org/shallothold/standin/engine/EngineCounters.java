package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.shallothold.standin.http.Json;

/** Counts of what an engine has done. Not to be shared between threads. */
final class EngineCounters {

  /** What is counted. */
  enum Counter {
    /** Requests that got a place in the batch. */
    REQUESTS_STARTED,
    /** Requests whose complete answer was sent. */
    REQUESTS_FINISHED,
    /** Requests whose caller closed the connection while they waited or ran. */
    REQUESTS_CANCELLED,
    /** Streams ended without their end mark by a fault. */
    STREAMS_CUT,
    /** Tokens generated, for whichever fate of the request. */
    TOKENS_GENERATED,
    /** Tokens generated for requests that were cancelled or cut. */
    TOKENS_OF_UNFINISHED,
    /** Tokens that arrived as resume_tokens. */
    RESUMED_TOKENS,
    /** Requests whose resume_tokens differ from what any engine would have generated. */
    RESUME_MISMATCHES,
    /** Context tokens computed. */
    PREFILL_TOKENS,
    /** Requests for which at least one block was cached. */
    PREFIX_CACHE_HITS,
    /** Context tokens that were cached. */
    PREFIX_CACHE_HIT_TOKENS,
    /** Steps of the scheduler. */
    STEPS
  }

  private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);

  void add(Counter counter, long number) {
    counts.merge(counter, number, Long::sum);
  }

  ObjectNode toJson() {
    ObjectNode document = Json.object();
    for (Counter counter : Counter.values()) {
      document.put(counter.name().toLowerCase(Locale.ROOT), counts.getOrDefault(counter, 0L));
    }
    return document;
  }
}
