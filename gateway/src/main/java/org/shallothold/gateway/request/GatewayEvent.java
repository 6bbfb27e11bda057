package org.shallothold.gateway.request;

import org.shallothold.core.config.Configuration;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/** An event processed by the router thread, which owns the requests. */
public sealed interface GatewayEvent {

  /** A caller's request arrived and passed validation. */
  record Arrived(CallerRequest request, Responder responder) implements GatewayEvent {}

  /** The caller disconnected before its answer was complete. */
  record CallerDisconnected(long requestNumber) implements GatewayEvent {}

  /** A sidecar connected and sent its hello message. */
  record PeerConnected(LinkKey link, PeerConnection connection, Hello hello)
      implements GatewayEvent {}

  /** A message arrived from a sidecar. */
  record PeerMessage(LinkKey link, PeerConnection connection, Envelope envelope)
      implements GatewayEvent {}

  /** A connection to a sidecar closed. */
  record PeerDisconnected(LinkKey link, PeerConnection connection) implements GatewayEvent {}

  /** A new configuration took effect. */
  record ConfigurationChanged(Configuration configuration) implements GatewayEvent {}

  /** A new membership list was read. */
  record MembersChanged(MembershipView members) implements GatewayEvent {}

  /** The operator command asks for the gateway's status or for the history of one request. */
  record OperatorMessage(PeerConnection connection, Envelope envelope) implements GatewayEvent {}

  /** Periodic event that drives deadlines and stall detection. */
  record Tick() implements GatewayEvent {}
}
