package org.shallothold.sidecar;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Names the threads of a pool; they don't keep the process alive. */
final class DaemonThreads {

  private DaemonThreads() {}

  static ThreadFactory named(String name) {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
