package org.shallothold.gateway;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.shallothold.gateway.http.RequestSink;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.runtime.duty.Duty;

/**
 * The queue before the thread that owns the requests. Made before the router, since the parts that
 * the router calls post events themselves; may be shared between threads.
 */
final class RequestQueue implements RequestSink, AutoCloseable {

  private static final int CAPACITY = 16_384;

  private final AtomicReference<Consumer<GatewayEvent>> consumer =
      new AtomicReference<>(event -> {});
  private final Duty<GatewayEvent> duty;

  RequestQueue() {
    duty = Duty.start("requests", CAPACITY, event -> consumer.get().accept(event));
  }

  /** Sets what takes the events; events before that are dropped. */
  void consumer(Consumer<GatewayEvent> newConsumer) {
    consumer.set(newConsumer);
  }

  void tickEvery(ScheduledExecutorService timer, long periodMillis) {
    duty.offerEvery(timer, periodMillis, new GatewayEvent.Tick());
  }

  @Override
  public boolean offer(GatewayEvent event) {
    return duty.offer(event);
  }

  @Override
  public void put(GatewayEvent event) {
    duty.put(event);
  }

  @Override
  public void close() {
    duty.close();
  }
}
