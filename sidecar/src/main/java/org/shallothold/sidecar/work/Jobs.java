package org.shallothold.sidecar.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothold.sidecar.work.Job.Waiter;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Attempt;

/** The jobs by id, attempt and order, and the attempts known lately. Owned by one thread. */
final class Jobs {

  // A duplicate comes from a gateway's repeated send within seconds, so a few seconds' worth of
  // attempts is enough.
  private static final int KEPT_ATTEMPTS = 8_192;

  private final Map<Long, Job> byId = new LinkedHashMap<>();
  private final Map<Attempt, Job> byAttempt = new HashMap<>();
  private final Map<Long, Job> bySerial = new HashMap<>();
  private long bodyBytes;
  private final Map<Attempt, Boolean> known =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Attempt, Boolean> eldest) {
          return size() > KEPT_ATTEMPTS;
        }
      };

  /** Returns whether an attempt is new, and remembers it. */
  boolean isNew(Attempt attempt) {
    return known.putIfAbsent(attempt, true) == null;
  }

  void add(Job job, Waiter waiter) {
    byId.put(job.work.id(), job);
    bodyBytes += Job.bodyBytes(job.submit);
    if (job.isOrder()) {
      bySerial.put(job.orderSerial, job);
    }
    join(job, waiter);
  }

  void join(Job job, Waiter waiter) {
    job.waiters.add(waiter);
    byAttempt.put(waiter.attempt(), job);
  }

  void leave(Job job, Waiter waiter) {
    job.waiters.remove(waiter);
    byAttempt.remove(waiter.attempt());
  }

  void remove(Job job) {
    if (byId.remove(job.work.id()) != null) {
      bodyBytes -= Job.bodyBytes(job.submit);
    }
    bySerial.remove(job.orderSerial);
    job.waiters.forEach(waiter -> byAttempt.remove(waiter.attempt()));
  }

  /** Returns the size of all jobs' bodies, in bytes. */
  long bodyBytes() {
    return bodyBytes;
  }

  Optional<Job> find(long id) {
    return Optional.ofNullable(byId.get(id));
  }

  Optional<Job> find(Attempt attempt) {
    return Optional.ofNullable(byAttempt.get(attempt));
  }

  Optional<Job> findOrder(long serial) {
    return Optional.ofNullable(bySerial.get(serial));
  }

  Collection<Job> all() {
    return byId.values();
  }

  /** Returns the jobs with a waiter on a connection. */
  List<Job> of(PeerConnection connection) {
    return byId.values().stream()
        .filter(
            job -> job.waiters.stream().anyMatch(waiter -> waiter.connection().equals(connection)))
        .toList();
  }
}
