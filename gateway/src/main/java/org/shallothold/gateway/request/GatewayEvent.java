package org.shallothold.gateway.request;

import org.shallothold.core.config.Configuration;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/** An event of the thread that owns the requests. */
public sealed interface GatewayEvent {

  /** A caller's request passed its checks. */
  record Arrived(CallerRequest request, Responder responder) implements GatewayEvent {}

  /** The caller's connection closed before its answer was complete. */
  record CallerGone(long requestNumber) implements GatewayEvent {}

  /** A sidecar's hello arrived. */
  record PeerConnected(LinkKey link, PeerConnection connection, Hello hello)
      implements GatewayEvent {}

  /** A sidecar sent a message. */
  record PeerMessage(LinkKey link, PeerConnection connection, Envelope envelope)
      implements GatewayEvent {}

  /** A connection to a sidecar closed. */
  record PeerDisconnected(LinkKey link, PeerConnection connection) implements GatewayEvent {}

  /** A new configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements GatewayEvent {}

  /** The membership list was read. */
  record MembersChanged(MembershipView members) implements GatewayEvent {}

  /** The operators' command asks for the state or for one request. */
  record OperatorMessage(PeerConnection connection, Envelope envelope) implements GatewayEvent {}

  /** Time passed. */
  record Tick() implements GatewayEvent {}
}
