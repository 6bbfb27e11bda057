package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.gateway.forward.backend.BackendPool.Reachability;

/**
 * Tells the end of a backend server from the loss of single connections. After a loss, the server
 * is asked for a new connection: if no process listens any more, it has ended. If that is not
 * clear, the list of servers decides: an instance that disappears from it soon after the loss has
 * ended. The end of a server that is leaving or no longer listed is planned and not reported. Owned
 * by the event loop.
 */
final class ServerEndDetector {

  // Requests wait for the result for at most this time; a server's failure domain answers sooner.
  private static final long MAX_CHECK_MILLIS = 150;
  // Losses within this time belong together.
  private static final long SAME_END_MILLIS = 1_000;
  // An entry lapses from the list of servers within a few seconds of its server's end.
  private static final long MAX_UNDECIDED_MILLIS = 10_000;

  private final EventLoop eventLoop;
  private final RoutingState state;
  private final Listener listener;
  private final Map<String, Loss> lossesByServer = new HashMap<>();
  private long lastCheckNumber;

  /** Receives the ends of servers. */
  interface Listener {

    /**
     * Called when a server has ended, and again for requests whose loss is noticed later.
     *
     * @param endMillis time of the end
     * @param sentMillisByPart shared prompt parts of the requests that the server had hardly begun
     *     to answer, with the latest time at which such a request was sent
     */
    void serverEnded(TrackedServer server, long endMillis, Map<Long, Long> sentMillisByPart);
  }

  /** What is known after the loss of connections to a server. */
  private enum Result {
    CHECKING,
    UNDECIDED,
    ALIVE,
    ENDED
  }

  /** Losses of connections to one server at about the same time. */
  private static final class Loss {
    private final TrackedServer server;
    private final long instanceStartMillis;
    private final long millis;
    private final long checkNumber;
    private final Map<Long, Long> sentMillisByPart = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private Result result = Result.CHECKING;

    private Loss(TrackedServer server, long millis, long checkNumber) {
      this.checkNumber = checkNumber;
      this.server = server;
      this.instanceStartMillis = server.entry().startedMillis();
      this.millis = millis;
    }

    private void addParts(Collection<Long> partIds, long sentMillis) {
      partIds.forEach(part -> sentMillisByPart.merge(part, sentMillis, Math::max));
    }
  }

  ServerEndDetector(EventLoop eventLoop, RoutingState state, Listener listener) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.listener = listener;
  }

  /**
   * Records that the connection of a request was lost.
   *
   * @param partIds shared prompt parts of the request if the server had hardly begun to answer it
   * @param sentMillis time at which the request was sent
   * @param decided called when it is known whether the server has ended, or after a short time
   */
  void connectionLost(
      TrackedServer server, Collection<Long> partIds, long sentMillis, Runnable decided) {
    if (isEndPlanned(server)) {
      decided.run();
      return;
    }
    check(server, partIds, sentMillis, lastCheckNumber + 1, decided);
  }

  /**
   * Finds out whether a server goes on after the end of a connection that alone ends a response.
   *
   * @param partIds shared prompt parts of the request if the server had hardly begun to answer it
   * @param sentMillis time at which the request was sent
   * @param decided called when {@link #isAlive} tells whether the server goes on
   */
  void responseEndedWithConnection(
      TrackedServer server, Collection<Long> partIds, long sentMillis, Runnable decided) {
    check(server, partIds, sentMillis, lastCheckNumber + 1, decided);
  }

  private boolean isEndPlanned(TrackedServer server) {
    return server.isLeaving() || state.server(server.entry().id()) != server;
  }

  /**
   * Waits for a check of the server, which it begins if none is running.
   *
   * @param minCheckNumber number of the first check that can show that the server is alive: those
   *     before it began before the loss
   */
  private void check(
      TrackedServer server,
      Collection<Long> partIds,
      long sentMillis,
      long minCheckNumber,
      Runnable decided) {
    Loss known = recentLoss(server);
    if (known != null && known.result == Result.ENDED) {
      known.addParts(partIds, sentMillis);
      report(known);
      decided.run();
      return;
    }
    if (known != null && known.result == Result.CHECKING) {
      known.addParts(partIds, sentMillis);
      boolean isTooEarly = known.checkNumber < minCheckNumber;
      known.waiting.add(
          isTooEarly
              ? () -> checkAgainIfAlive(known, partIds, sentMillis, minCheckNumber, decided)
              : decided);
      return;
    }
    Loss loss = new Loss(server, MonotonicClock.millis(), ++lastCheckNumber);
    if (known != null && known.result == Result.UNDECIDED) {
      loss.sentMillisByPart.putAll(known.sentMillisByPart);
    }
    loss.addParts(partIds, sentMillis);
    loss.waiting.add(decided);
    lossesByServer.put(server.entry().id(), loss);
    state.checkReachable(server.entry(), reachability -> checked(loss, reachability));
    eventLoop.schedule(() -> checkTimedOut(loss), MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the last loss if this one may belong to it; null if there is none. */
  private @Nullable Loss recentLoss(TrackedServer server) {
    Loss known = lossesByServer.get(server.entry().id());
    boolean isRecent =
        known != null
            && known.server == server
            && MonotonicClock.millis() - known.millis < SAME_END_MILLIS;
    return isRecent ? known : null;
  }

  private void checkAgainIfAlive(
      Loss known,
      Collection<Long> partIds,
      long sentMillis,
      long minCheckNumber,
      Runnable decided) {
    if (known.result == Result.ALIVE) {
      check(known.server, partIds, sentMillis, minCheckNumber, decided);
    } else {
      decided.run();
    }
  }

  private void checkTimedOut(Loss loss) {
    if (loss.result == Result.CHECKING) {
      decide(loss, Result.UNDECIDED);
    }
  }

  /** Returns whether the latest check of a server has found that it goes on. */
  boolean isAlive(TrackedServer server) {
    Loss known = lossesByServer.get(server.entry().id());
    return known != null && known.server == server && known.result == Result.ALIVE;
  }

  private void checked(Loss loss, Reachability reachability) {
    switch (reachability) {
      case REFUSED -> {
        loss.server.recordUnreachable(MonotonicClock.millis());
        // A server that answers on another connection is overloaded rather than gone.
        decide(loss, isSilentAfter(loss) ? Result.ENDED : Result.UNDECIDED);
      }
      case ACCEPTED -> decide(loss, Result.ALIVE);
      case NO_ANSWER -> decide(loss, Result.UNDECIDED);
    }
  }

  private void decide(Loss loss, Result result) {
    if (loss.result == Result.ENDED) {
      return;
    }
    loss.result = result;
    if (result == Result.ENDED) {
      report(loss);
    }
    List<Runnable> waiting = List.copyOf(loss.waiting);
    loss.waiting.clear();
    waiting.forEach(Runnable::run);
  }

  private void report(Loss loss) {
    if (isEndPlanned(loss.server)) {
      return;
    }
    listener.serverEnded(loss.server, loss.millis, Map.copyOf(loss.sentMillisByPart));
  }

  /** Decides losses without an end by the list of servers, and forgets old ones. */
  void maintain() {
    long nowMillis = MonotonicClock.millis();
    List.copyOf(lossesByServer.values()).stream()
        .filter(loss -> loss.result != Result.CHECKING && loss.result != Result.ENDED)
        .filter(this::isGone)
        .forEach(loss -> decide(loss, Result.ENDED));
    lossesByServer.values().removeIf(loss -> nowMillis - loss.millis > MAX_UNDECIDED_MILLIS);
  }

  /** Returns whether the instance is no longer listed and has sent nothing since the loss. */
  private boolean isGone(Loss loss) {
    TrackedServer listed = state.server(loss.server.entry().id());
    boolean replaced = listed == null || listed.entry().startedMillis() != loss.instanceStartMillis;
    return replaced && !loss.server.isLeaving() && isSilentAfter(loss);
  }

  /** The last bytes of a server and its end are often read within the same millisecond. */
  private static boolean isSilentAfter(Loss loss) {
    return loss.server.silentSince(loss.millis + 1);
  }
}
