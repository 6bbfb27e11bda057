package org.shallothold.wire.connection;

import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * Receives connection events. Methods are called on Netty event loop threads, in order for each
 * connection, and must not block.
 */
public interface PeerListener {

  /** Called once per connection, when the first hello of the remote process arrives. */
  void connected(PeerConnection connection, Hello hello);

  /** Called for each message except hello and heartbeat; never before {@link #connected}. */
  void received(PeerConnection connection, Envelope envelope);

  /** Called when the connection closes, but only if {@link #connected} was called for it. */
  void disconnected(PeerConnection connection);
}
