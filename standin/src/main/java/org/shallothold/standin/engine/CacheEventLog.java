package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.shallothold.standin.http.Json;

/**
 * Published changes of the prefix cache. Events come late, and some never: their sequence numbers
 * are missing. Not to be shared between threads.
 */
final class CacheEventLog implements PrefixCache.Listener {

  private static final int MAX_EVENTS = 1_024;
  private static final int MAX_EVENTS_PER_READ = 200;

  private record Event(long sequence, long nanos, String type, List<String> blocks) {}

  private final long delayNanos;
  private final int gapEvery;
  private final LongSupplier nanoClock;

  private final Deque<Event> events = new ArrayDeque<>();
  private long lastSequence;

  /**
   * Creates an empty log.
   *
   * @param delayNanos age from which an event can be read
   * @param gapEvery each event whose sequence number is a multiple of this is lost; 0 for none
   * @param nanoClock time in nanoseconds
   */
  CacheEventLog(long delayNanos, int gapEvery, LongSupplier nanoClock) {
    this.delayNanos = delayNanos;
    this.gapEvery = gapEvery;
    this.nanoClock = nanoClock;
  }

  @Override
  public void stored(List<String> blocks) {
    add("stored", blocks);
  }

  @Override
  public void removed(List<String> blocks) {
    add("removed", blocks);
  }

  /** Returns the events after a sequence number that are old enough, oldest first. */
  ObjectNode after(long sequence) {
    ObjectNode document = Json.object();
    ArrayNode array = document.putArray("events");
    long newestNanos = nanoClock.getAsLong() - delayNanos;
    events.stream()
        .filter(event -> event.sequence() > sequence && event.nanos() - newestNanos <= 0)
        .limit(MAX_EVENTS_PER_READ)
        .forEach(
            event ->
                array
                    .addObject()
                    .put("sequence", event.sequence())
                    .put("type", event.type())
                    .set("blocks", Json.texts(event.blocks())));
    return document;
  }

  private void add(String type, List<String> blocks) {
    lastSequence++;
    if (gapEvery > 0 && lastSequence % gapEvery == 0) {
      return;
    }
    events.addLast(new Event(lastSequence, nanoClock.getAsLong(), type, List.copyOf(blocks)));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }
}
