package org.shallothold.sidecar.work;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.queue.ScheduledRequest;
import org.shallothold.sidecar.backend.BackendRun;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Submit;

/** One piece of work from its admission to its end. Owned by the sidecar's thread. */
final class Job {

  final ScheduledRequest work;
  final Submit submit;

  /** Serial number of the order's ticket; 0 if the work is no order. */
  final long orderSerial;

  final long admittedMillis;

  /** Who gets the answer; more than one only for an order that arrived again. */
  final List<Waiter> waiters = new ArrayList<>();

  /** Tokens of the answer so far, with those that the gateway sent along. */
  final List<String> tokens;

  int runNumber;

  /** The run in progress, or null while the job waits. */
  @Nullable BackendRun run;

  boolean startedBefore;
  long lastActivityMillis;
  long lastTokenNanos;

  Job(ScheduledRequest work, Submit submit, long orderSerial, long admittedMillis) {
    this.work = work;
    this.submit = submit;
    this.orderSerial = orderSerial;
    this.admittedMillis = admittedMillis;
    this.tokens = new ArrayList<>(submit.getCompletion().getResumeTokensList());
  }

  /** One arrival that waits for the answer. */
  record Waiter(PeerConnection connection, Attempt attempt) {}

  /** Makes the envelope for one waiter. */
  interface EnvelopeFor {
    Envelope of(Attempt attempt);
  }

  /** Returns the size of a submission's body, in bytes. */
  static long bodyBytes(Submit submit) {
    return (long) submit.getCompletion().getBody().size()
        + submit.getServiceCall().getBody().size();
  }

  boolean isOrder() {
    return orderSerial != 0;
  }

  boolean isRunning() {
    return run != null;
  }

  /** Returns how many tokens this sidecar got from the engine. */
  int generatedTokens() {
    return tokens.size() - submit.getCompletion().getResumeTokensCount();
  }

  /** Sends a message to every waiter. */
  void send(EnvelopeFor message) {
    waiters.forEach(waiter -> waiter.connection().send(message.of(waiter.attempt())));
  }
}
