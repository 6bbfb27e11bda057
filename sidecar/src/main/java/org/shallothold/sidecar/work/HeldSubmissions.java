package org.shallothold.sidecar.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Submit;

/**
 * Submissions made under a configuration version that this sidecar doesn't hold yet. Owned by one
 * thread.
 */
final class HeldSubmissions {

  private static final int CAPACITY = 256;

  private final long limitMillis;
  private final Deque<Held> held = new ArrayDeque<>();

  HeldSubmissions(long limitMillis) {
    this.limitMillis = limitMillis;
  }

  /** A submission and when it arrived. */
  record Held(PeerConnection connection, Submit submit, long sinceMillis) {}

  /** Holds a submission; returns false if there is no room. */
  boolean add(PeerConnection connection, Submit submit, long nowMillis) {
    return held.size() < CAPACITY && held.add(new Held(connection, submit, nowMillis));
  }

  /** Removes and returns the submissions made under a version up to this one. */
  List<Held> takeUpTo(long version) {
    return take(item -> item.submit().getVersion().getNumber() <= version);
  }

  /** Removes and returns the submissions that have waited too long. */
  List<Held> takeExpired(long nowMillis) {
    return take(item -> nowMillis - item.sinceMillis() >= limitMillis);
  }

  /** Removes and returns the submissions of a connection. */
  List<Held> takeOf(PeerConnection connection) {
    return take(item -> item.connection().equals(connection));
  }

  /** Removes and returns an attempt. */
  Optional<Held> take(Attempt attempt) {
    return take((Held item) -> item.submit().getAttempt().equals(attempt)).stream().findFirst();
  }

  private List<Held> take(Predicate<Held> condition) {
    List<Held> taken = new ArrayList<>();
    held.removeIf(item -> condition.test(item) && taken.add(item));
    return taken;
  }
}
