package org.shallothold.runtime.duty;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Processes events one at a time on a dedicated thread, fed by a bounded ring buffer. Any thread
 * may add events; the consumer runs only on the dedicated thread, so the state that it owns needs
 * no locks. An exception of the consumer is logged and the next event is processed.
 *
 * @param <E> type of the events
 */
public final class Duty<E> implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(Duty.class.getName());

  private final Disruptor<Slot<E>> disruptor;

  private Duty(Disruptor<Slot<E>> disruptor) {
    this.disruptor = disruptor;
  }

  private static final class Slot<E> {
    private @Nullable E event;
  }

  /**
   * Starts the dedicated thread, as a daemon thread.
   *
   * @param name name of the thread
   * @param capacity number of events that the ring buffer holds, a power of two
   * @param consumer handles the events in the order in which they were added
   */
  public static <E> Duty<E> start(String name, int capacity, Consumer<E> consumer) {
    Disruptor<Slot<E>> disruptor =
        new Disruptor<>(
            Slot::new,
            capacity,
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            },
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    EventHandler<Slot<E>> handler = (slot, sequence, endOfBatch) -> handle(slot, consumer);
    disruptor.handleEventsWith(handler);
    disruptor.start();
    return new Duty<>(disruptor);
  }

  /** Adds an event without blocking; returns false if the ring buffer is full. */
  public boolean offer(E event) {
    return disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.event = event);
  }

  /**
   * Adds an event, blocking while the ring buffer is full. Must not be called on the dedicated
   * thread: with a full ring buffer it would wait for itself forever.
   */
  public void put(E event) {
    disruptor.getRingBuffer().publishEvent((slot, sequence) -> slot.event = event);
  }

  /** Offers an event at a fixed rate; it is skipped whenever the ring buffer is full. */
  public void offerEvery(ScheduledExecutorService timer, long periodMillis, E event) {
    timer.scheduleAtFixedRate(
        () -> offer(event), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns the number of events in the ring buffer. */
  public long backlog() {
    var ringBuffer = disruptor.getRingBuffer();
    return ringBuffer.getBufferSize() - ringBuffer.remainingCapacity();
  }

  /** Processes the events that are in the ring buffer, then stops the thread. */
  @Override
  public void close() {
    disruptor.shutdown();
  }

  private static <E> void handle(Slot<E> slot, Consumer<E> consumer) {
    E event = slot.event;
    slot.event = null;
    if (event == null) {
      return;
    }
    try {
      consumer.accept(event);
    } catch (RuntimeException e) {
      LOGGER.log(
          Logger.Level.ERROR, "an event of type " + event.getClass().getName() + " failed", e);
    }
  }
}
