package org.shallothold.gateway.forward.caller;

import io.netty.channel.EventLoop;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.ReadScheduler;

/** What tests need of a service of callers, but for the responses. */
abstract class CallerServiceStub implements CallerService {

  private static final long MEMORY_BYTES = 10_000_000;

  private final MemoryBudget memory = MemoryBudget.of(MEMORY_BYTES);
  private final RequestMemoryBudget requestMemory = RequestMemoryBudget.of(MEMORY_BYTES);
  private final ReadScheduler readScheduler;

  CallerServiceStub(EventLoop eventLoop) {
    readScheduler = ReadScheduler.create("test", eventLoop);
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
