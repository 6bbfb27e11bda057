package org.shallothold.gateway.request;

import com.google.protobuf.ByteString;
import org.shallothold.wire.proto.Attempt;

/**
 * Builds and checks the identifiers of attempts made by this incarnation of the gateway.
 *
 * @param incarnation 16 random bytes drawn at process start
 */
record AttemptIdentity(ByteString incarnation) {

  /** Frames about tickets carry one call number, with the attempt number in its low bits. */
  private static final int ATTEMPT_BITS = 10;

  private static final long ATTEMPT_MASK = (1L << ATTEMPT_BITS) - 1;

  Attempt of(ActiveRequest request, int attempt) {
    return Attempt.newBuilder()
        .setGatewayIncarnation(incarnation)
        .setRequestNumber(request.number())
        .setAttemptNumber(attempt)
        .build();
  }

  boolean isOurs(Attempt attempt) {
    return attempt.getGatewayIncarnation().equals(incarnation);
  }

  static long callNumber(ActiveRequest request, int attempt) {
    return (request.number() << ATTEMPT_BITS) | (attempt & ATTEMPT_MASK);
  }

  static long requestOfCall(long callNumber) {
    return callNumber >>> ATTEMPT_BITS;
  }

  static int attemptOfCall(long callNumber) {
    return (int) (callNumber & ATTEMPT_MASK);
  }
}
