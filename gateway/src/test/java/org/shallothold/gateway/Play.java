package org.shallothold.gateway;

import java.util.function.Consumer;
import org.shallothold.gateway.FakeSidecar.Arrival;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.VerdictKind;

/** Scripted behavior of a fake sidecar for a submission; the full answer is {@link #ANSWER}. */
enum Play implements Consumer<Arrival> {
  WHOLE(
      arrival -> {
        arrival.started();
        arrival.tokens(arrival.resumed(), Play.ANSWER.substring(arrival.resumed()));
        arrival.finished(FinishKind.FINISH_KIND_COMPLETE, Play.ANSWER.length());
      }),
  DOUBLED(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "abc");
        arrival.tokens(0, "abc");
        arrival.tokens(1, "b");
        arrival.tokens(3, "def");
        arrival.tokens(3, "def");
        arrival.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
        arrival.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
      }),
  GAP(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "ab");
        arrival.tokens(3, "def");
        arrival.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
      }),
  CUT(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "ab");
        arrival.connection().close();
      }),
  BROKEN(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "ab");
        arrival.finished(FinishKind.FINISH_KIND_BROKEN, 2);
      }),
  SHORT_COUNT(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "ab");
        arrival.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
      }),
  WRONG_ATTEMPT(
      arrival -> {
        var foreign = arrival.attempt().toBuilder();
        for (var other :
            new org.shallothold.wire.proto.Attempt[] {
              foreign.setAttemptNumber(9).build(),
              foreign.setAttemptNumber(0).build(),
              arrival.attempt().toBuilder().setRequestNumber(99_999).build(),
              arrival.attempt().toBuilder()
                  .setGatewayIncarnation(com.google.protobuf.ByteString.copyFromUtf8("former"))
                  .build()
            }) {
          Arrival wrong = arrival.withAttempt(other);
          wrong.tokens(0, "xyz");
          wrong.finished(FinishKind.FINISH_KIND_COMPLETE, 3);
          wrong.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "queue_full", 0);
        }
        WHOLE.accept(arrival);
      }),
  ACK_LOST(arrival -> arrival.connection().close()),
  SILENT(arrival -> {}),
  STARTED_ONLY(Arrival::started),
  STALLED(
      arrival -> {
        arrival.started();
        arrival.tokens(0, "ab");
      }),
  FULL(arrival -> arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "queue_full", 2_500)),
  FULL_SOONER(arrival -> arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "queue_full", 1_200)),
  MAY_HAVE_RUN(
      arrival -> arrival.refused(VerdictKind.VERDICT_KIND_MAY_HAVE_RUN, "backend_failed", 0));

  static final String ANSWER = "abcdef";

  @SuppressWarnings("ImmutableEnumChecker") // None of the functions holds state.
  private final Consumer<Arrival> steps;

  Play(Consumer<Arrival> steps) {
    this.steps = steps;
  }

  @Override
  public void accept(Arrival arrival) {
    steps.accept(arrival);
  }
}
