package org.shallothold.wire.connection;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Time that an event loop spends on the bytes it reads, by connection, within successive windows.
 * Not thread-safe; used on the event loop only.
 */
public final class ReadTimes {

  private static final Map<EventLoop, ReadTimes> BY_EVENT_LOOP = new WeakHashMap<>();

  private long window;
  private long nanos;
  private @Nullable Account busiest;

  private ReadTimes() {}

  /** Returns the instance that all connections of an event loop share. Callable on any thread. */
  public static ReadTimes of(EventLoop eventLoop) {
    synchronized (BY_EVENT_LOOP) {
      return BY_EVENT_LOOP.computeIfAbsent(eventLoop, loop -> create());
    }
  }

  /** Creates an instance whose first window begins now. */
  static ReadTimes create() {
    return new ReadTimes();
  }

  /**
   * What one connection used in a window.
   *
   * @param nanos time for decoding its bytes and for what they caused, in nanoseconds
   * @param bytes number of bytes that were handled
   */
  public record Usage(ReadSource source, long nanos, long bytes) {}

  /**
   * A window that has ended.
   *
   * @param nanos time for the bytes of all connections, in nanoseconds
   * @param busiest what the connection used that used the most time; empty if nothing was read
   */
  public record Window(long nanos, Optional<Usage> busiest) {}

  /** Returns an account for a new connection. */
  Account open(ReadSource source) {
    return new Account(source);
  }

  /** Ends the current window, begins another and returns the ended one. */
  public Window endWindow() {
    Account account = busiest;
    Optional<Usage> usage =
        account == null
            ? Optional.empty()
            : Optional.of(new Usage(account.source, account.nanosInWindow, account.bytesInWindow));
    Window ended = new Window(nanos, usage);
    window++;
    nanos = 0;
    busiest = null;
    return ended;
  }

  /** Time and bytes of one connection in the current window. */
  final class Account {

    private final ReadSource source;
    private long accountWindow = -1;
    private long nanosInWindow;
    private long bytesInWindow;

    private Account(ReadSource source) {
      this.source = source;
    }

    void add(long additionalNanos, long bytes) {
      if (accountWindow != window) {
        accountWindow = window;
        nanosInWindow = 0;
        bytesInWindow = 0;
      }
      nanosInWindow += additionalNanos;
      bytesInWindow += bytes;
      nanos += additionalNanos;
      Account former = busiest;
      if (former == null || nanosInWindow > former.nanosInWindow) {
        busiest = this;
      }
    }
  }
}
