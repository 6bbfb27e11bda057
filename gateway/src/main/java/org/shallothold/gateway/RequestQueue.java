package org.shallothold.gateway;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.shallothold.gateway.http.RequestSink;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.runtime.duty.Duty;

/**
 * Event queue of the request thread, which owns the state of all requests. Created before the
 * router, because the components that the router depends on post events themselves. Thread-safe.
 */
final class RequestQueue implements RequestSink, AutoCloseable {

  private static final int CAPACITY_EVENTS = 16_384;

  private final AtomicReference<Consumer<GatewayEvent>> consumer =
      new AtomicReference<>(event -> {});
  private final Duty<GatewayEvent> processor;

  RequestQueue() {
    processor = Duty.start("requests", CAPACITY_EVENTS, event -> consumer.get().accept(event));
  }

  /** Sets the consumer of the events; events handled before this call are dropped. */
  void setConsumer(Consumer<GatewayEvent> newConsumer) {
    consumer.set(newConsumer);
  }

  /** Offers a tick event at a fixed rate; a tick is skipped if the queue is full. */
  void tickEvery(ScheduledExecutorService timer, long periodMillis) {
    processor.offerEvery(timer, periodMillis, new GatewayEvent.Tick());
  }

  @Override
  public boolean offer(GatewayEvent event) {
    return processor.offer(event);
  }

  @Override
  public void put(GatewayEvent event) {
    processor.put(event);
  }

  @Override
  public void close() {
    processor.close();
  }
}
