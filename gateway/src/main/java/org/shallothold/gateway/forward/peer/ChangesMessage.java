package org.shallothold.gateway.forward.peer;

import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.WorkChanges;

/** Changes in the form that each peer understands; each form is built at its first use. */
final class ChangesMessage {

  private final WorkChanges changes;
  private @Nullable SizedEnvelope compact;
  private @Nullable SizedEnvelope plain;

  private ChangesMessage(WorkChanges changes) {
    this.changes = changes;
  }

  static ChangesMessage of(WorkChanges changes) {
    return new ChangesMessage(changes);
  }

  /** Returns whether a peer understands differences and the compact form. */
  static boolean isUnderstoodBy(@Nullable Hello hello) {
    // Older builds don't tell their failure domain.
    return hello != null && !hello.getFailureDomain().isEmpty();
  }

  /** Returns the message for a peer with a certain hello. */
  SizedEnvelope forPeer(@Nullable Hello hello) {
    if (isUnderstoodBy(hello)) {
      compact = compact == null ? envelope(CompactForm.compact(changes)) : compact;
      return compact;
    }
    plain = plain == null ? envelope(changes) : plain;
    return plain;
  }

  private static SizedEnvelope envelope(WorkChanges changes) {
    return SizedEnvelope.of(Envelope.newBuilder().setWorkChanges(changes).build());
  }
}
