package org.shallothold.gateway.forward.peer;

import org.shallothold.wire.proto.Envelope;

/** A message with its size, which is measured once for all peers. */
record SizedEnvelope(Envelope envelope, MessageSize size) {

  static SizedEnvelope of(Envelope envelope) {
    return new SizedEnvelope(envelope, MessageSize.of(envelope));
  }
}
