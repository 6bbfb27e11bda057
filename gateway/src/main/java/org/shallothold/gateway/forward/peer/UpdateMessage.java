package org.shallothold.gateway.forward.peer;

import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;

/** An update in the form that each peer needs; each form is built at its first use. */
final class UpdateMessage {

  private final SentState.Update update;
  private @Nullable SizedEnvelope whole;
  private @Nullable SizedEnvelope difference;

  private UpdateMessage(SentState.Update update) {
    this.update = update;
  }

  static UpdateMessage of(SentState.Update update) {
    return new UpdateMessage(update);
  }

  /**
   * Returns the differences if a peer can complete them and there are any, else the whole state.
   */
  SizedEnvelope forPeer(boolean canComplete) {
    FleetNews differences = update.difference();
    if (canComplete && differences != null) {
      difference = difference == null ? envelope(differences) : difference;
      return difference;
    }
    whole = whole == null ? envelope(update.whole()) : whole;
    return whole;
  }

  private static SizedEnvelope envelope(FleetNews news) {
    return SizedEnvelope.of(Envelope.newBuilder().setFleetNews(news).build());
  }
}
