package org.shallothold.gateway.forward.caller;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.ReadScheduler;

/** Keeps the exchange of the last request, which the test answers. */
final class RecordingService implements CallerService {

  private static final long MEMORY_BYTES = 10_000_000;

  private final MemoryBudget memory = MemoryBudget.of(MEMORY_BYTES);
  private final RequestMemoryBudget requestMemory = RequestMemoryBudget.of(MEMORY_BYTES);
  private final ReadScheduler readScheduler =
      ReadScheduler.create("test", new EmbeddedChannel().eventLoop());
  private @Nullable CallerExchange exchange;

  CallerExchange exchange() {
    return Objects.requireNonNull(exchange);
  }

  @Override
  public CallerRequestListener accept(CallerRequest request, CallerExchange newExchange) {
    request.body().release();
    exchange = newExchange;
    return new IgnoringListener();
  }

  @Override
  public void requestRejected(ReasonCode reason) {}

  @Override
  public CallerLimits limits() {
    return CallerLimits.DEFAULT;
  }

  @Override
  public MemoryBudget memory() {
    return memory;
  }

  @Override
  public RequestMemoryBudget requestMemory() {
    return requestMemory;
  }

  @Override
  public ReadScheduler readScheduler() {
    return readScheduler;
  }

  @Override
  public boolean isLeaving() {
    return false;
  }

  /** Ignores what happens to the caller. */
  static final class IgnoringListener implements CallerRequestListener {

    @Override
    public void callerDisconnected() {}

    @Override
    public void writabilityChanged() {}

    @Override
    public long decodedBytes() {
      return 0;
    }

    @Override
    public boolean mayHaveRun() {
      return false;
    }

    @Override
    public void memoryNeeded() {}
  }
}
