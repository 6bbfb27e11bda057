package org.shallothold.sidecar.work;

import java.util.List;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.wire.proto.Accepted;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.Finished;
import org.shallothold.wire.proto.Refused;
import org.shallothold.wire.proto.ServiceAnswer;
import org.shallothold.wire.proto.Started;
import org.shallothold.wire.proto.TicketState;
import org.shallothold.wire.proto.Tokens;
import org.shallothold.wire.proto.VerdictKind;

/** Builds the messages to gateways. */
final class Envelopes {

  private Envelopes() {}

  static Envelope accepted(Attempt attempt) {
    return Envelope.newBuilder().setAccepted(Accepted.newBuilder().setAttempt(attempt)).build();
  }

  static Envelope started(Attempt attempt) {
    return Envelope.newBuilder().setStarted(Started.newBuilder().setAttempt(attempt)).build();
  }

  static Envelope tokens(Attempt attempt, int offset, List<String> tokens) {
    return Envelope.newBuilder()
        .setTokens(Tokens.newBuilder().setAttempt(attempt).setOffset(offset).addAllTokens(tokens))
        .build();
  }

  static Envelope complete(Attempt attempt, int tokenCount, String finishReason) {
    return Envelope.newBuilder()
        .setFinished(
            Finished.newBuilder()
                .setAttempt(attempt)
                .setKind(FinishKind.FINISH_KIND_COMPLETE)
                .setTokenCount(tokenCount)
                .setFinishReason(finishReason))
        .build();
  }

  static Envelope ended(Attempt attempt, FinishKind kind, int tokenCount, ReasonCode reason) {
    return Envelope.newBuilder()
        .setFinished(
            Finished.newBuilder()
                .setAttempt(attempt)
                .setKind(kind)
                .setTokenCount(tokenCount)
                .setReasonCode(reason.code()))
        .build();
  }

  static Envelope serviceAnswer(Attempt attempt, ServiceAnswer answer) {
    return Envelope.newBuilder().setServiceAnswer(answer.toBuilder().setAttempt(attempt)).build();
  }

  static Envelope refused(Attempt attempt, Verdict verdict, int lowestWaitingTier) {
    Refused.Builder refused =
        Refused.newBuilder().setAttempt(attempt).setLowestWaitingTier(lowestWaitingTier);
    switch (verdict) {
      case Verdict.NotRun(ReasonCode reason, long retryAfterMillis) ->
          refused
              .setVerdict(VerdictKind.VERDICT_KIND_NOT_RUN)
              .setReasonCode(reason.code())
              .setRetryAfterMillis(retryAfterMillis);
      case Verdict.MayHaveRun(ReasonCode reason) ->
          refused.setVerdict(VerdictKind.VERDICT_KIND_MAY_HAVE_RUN).setReasonCode(reason.code());
      case Verdict.Completed completed ->
          throw new IllegalArgumentException("a completed request is not refused");
    }
    return Envelope.newBuilder().setRefused(refused).build();
  }

  static Envelope ticketState(long callNumber, String state) {
    return Envelope.newBuilder()
        .setTicketState(TicketState.newBuilder().setCallNumber(callNumber).setState(state))
        .build();
  }
}
