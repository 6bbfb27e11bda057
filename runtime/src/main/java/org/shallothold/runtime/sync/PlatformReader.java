package org.shallothold.runtime.sync;

import java.lang.System.Logger;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.core.membership.ReaderElection;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.runtime.platform.PlatformException;

/**
 * The thread that reads the platform. After an error, before new entries are taken and every so
 * often it reads the list again from a few entries before the last one held, so that a platform
 * that was rolled back and has reused positions is noticed even when its list has grown past ours.
 * Made once per process.
 */
final class PlatformReader implements AutoCloseable {

  // One entry would not do: after a rollback the last patch may have been published again
  // unchanged, after a different one.
  static final int CHECKED_ENTRIES = 8;

  // The second try is for an entry that was published between the two reads of the first one.
  private static final int TRIES_PER_OVERLAP = 2;

  private static final Logger LOGGER = System.getLogger(PlatformReader.class.getName());
  private static final long RETRY_MILLIS = 1_000;

  private final String processId;
  private final ConfigurationSource source;
  private final SyncOptions options;
  private final SyncReport report;
  private final LongSupplier lastPosition;
  private final Function<List<ConfigurationEntry>, SyncEvent.Applied> sink;
  private final Consumer<MembershipView> memberSink;
  private final Thread thread;

  private volatile boolean closed;
  private volatile boolean following = true;
  private MembershipView members = MembershipView.EMPTY;
  private long membersDueMillis;
  private long checkDueMillis;
  private boolean changeSeen;
  private boolean snapshotTried;
  private boolean reachable = true;
  private boolean behind;

  /**
   * Returns a reader that is not started yet.
   *
   * @param lastPosition position of the last entry held
   * @param sink takes entries and returns once they are applied
   * @param memberSink takes each membership list
   */
  PlatformReader(
      String processId,
      ConfigurationSource source,
      SyncOptions options,
      SyncReport report,
      LongSupplier lastPosition,
      Function<List<ConfigurationEntry>, SyncEvent.Applied> sink,
      Consumer<MembershipView> memberSink) {
    this.processId = processId;
    this.source = source;
    this.options = options;
    this.report = report;
    this.lastPosition = lastPosition;
    this.sink = sink;
    this.memberSink = memberSink;
    this.thread = new Thread(this::run, "platform-reader");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Returns false once the platform has shown another history than ours. */
  boolean isFollowing() {
    return following;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  private void run() {
    while (!closed) {
      long pause;
      try {
        pause = round();
        platformRead(true, "");
      } catch (PlatformException e) {
        platformRead(false, String.valueOf(e.getMessage()));
        pause = jitter(RETRY_MILLIS);
      } catch (RuntimeException e) {
        LOGGER.log(Logger.Level.ERROR, "a round of reading the platform failed", e);
        pause = jitter(RETRY_MILLIS);
      }
      sleep(pause);
    }
  }

  /** Returns the pause until the next round, in milliseconds. */
  private long round() {
    boolean watching = ReaderElection.isReader(processId, members, options.readersPerDomain());
    long pause = 0;
    PlatformException failure = null;
    try {
      pause = following ? readEntries(watching) : options.membersMillis();
    } catch (PlatformException e) {
      failure = e;
      checkDueMillis = 0;
    }
    // Read even if the entries can't be: the two lists may fail apart from each other.
    if (nowMillis() >= membersDueMillis) {
      members = source.members();
      memberSink.accept(members);
      membersDueMillis = nowMillis() + (watching ? options.membersMillis() : options.pollMillis());
    }
    if (failure != null) {
      throw failure;
    }
    return pause;
  }

  private long readEntries(boolean watching) {
    if (nowMillis() >= checkDueMillis) {
      boolean progress = check();
      if (progress || !following) {
        changeSeen = false;
        return 0;
      }
      checkDueMillis = nowMillis() + options.watchMillis();
      if (changeSeen) {
        // The watch shows what the check can't take, as after a gap in the positions.
        changeSeen = false;
        return jitter(RETRY_MILLIS);
      }
    }
    if (!watching) {
      checkDueMillis = 0;
      return jitter(options.pollMillis());
    }
    long wait = Math.min(options.watchMillis(), Math.max(0, membersDueMillis - nowMillis()));
    long started = nowMillis();
    boolean changed = !source.entriesAfter(lastPosition.getAsLong(), wait).isEmpty();
    if (changed) {
      changeSeen = true;
      checkDueMillis = 0;
    }
    // The next round reads and applies the change. The pause is for a platform that doesn't wait.
    return changed || nowMillis() - started >= wait / 2 ? 0 : jitter(RETRY_MILLIS);
  }

  /**
   * Reads the list to its end; returns whether any entry was new. New entries are taken only from a
   * page that starts with some that are held already, since the list may be replaced between two
   * reads. Where large entries leave no room for that in one page, fewer are asked for.
   */
  private boolean check() {
    if (!snapshotTried && lastPosition.getAsLong() == 0) {
      source.snapshot().ifPresent(entry -> apply(List.of(entry)));
    }
    snapshotTried = true;
    boolean progress = false;
    int tries = 0;
    while (following && !closed) {
      int overlap = CHECKED_ENTRIES >> (tries / TRIES_PER_OVERLAP);
      long held = lastPosition.getAsLong();
      List<ConfigurationEntry> page = source.entriesAfter(Math.max(0, held - overlap), 0);
      long reached = page.isEmpty() ? 0 : page.getLast().position();
      if (!page.isEmpty() && apply(page).progress()) {
        progress = true;
        tries = 0;
      } else if (overlap == 0 || source.entriesAfter(held, 0).isEmpty()) {
        noteBehind(!reaches(held, reached), reached, held);
        return progress;
      } else {
        tries++;
      }
    }
    return progress;
  }

  /** Returns whether the list goes on from a position up to another one, page by page. */
  private boolean reaches(long wanted, long from) {
    long reached = from;
    while (reached < wanted) {
      List<ConfigurationEntry> page = source.entriesAfter(reached, 0);
      if (page.isEmpty() || page.getLast().position() <= reached) {
        return false;
      }
      reached = page.getLast().position();
    }
    return true;
  }

  private SyncEvent.Applied apply(List<ConfigurationEntry> entries) {
    SyncEvent.Applied applied = sink.apply(entries);
    if (applied.contradiction()) {
      following = false;
    }
    return applied;
  }

  private void noteBehind(boolean nowBehind, long reached, long held) {
    if (following && nowBehind != behind) {
      behind = nowBehind;
      report.platformBehind(behind, reached, held);
    }
  }

  private void platformRead(boolean succeeded, String problem) {
    report.platformRead(succeeded);
    if (succeeded != reachable && !closed) {
      reachable = succeeded;
      report.platformReachable(reachable, problem);
    }
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private static long jitter(long millis) {
    return millis / 2 + ThreadLocalRandom.current().nextLong(millis + 1);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
