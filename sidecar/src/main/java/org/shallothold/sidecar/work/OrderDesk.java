package org.shallothold.sidecar.work;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.shallothold.core.order.OrderLedger;
import org.shallothold.core.order.OrderTicket;
import org.shallothold.core.order.TicketStatus;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ServiceAnswer;
import org.shallothold.wire.proto.ServiceCall;
import org.shallothold.wire.proto.TicketGrant;
import org.shallothold.wire.proto.TicketRequest;

/** Answers the messages about tickets. Owned by the sidecar's thread. */
final class OrderDesk {

  private final OrderLedger ledger;
  private final SidecarMetrics metrics;

  OrderDesk(OrderLedger ledger, SidecarMetrics metrics) {
    this.ledger = ledger;
    this.metrics = metrics;
  }

  /** Issues a ticket, or says why not. */
  void grant(PeerConnection connection, TicketRequest request, Optional<ReasonCode> refusal) {
    TicketGrant.Builder grant = TicketGrant.newBuilder().setCallNumber(request.getCallNumber());
    if (refusal.isPresent()) {
      grant.setReasonCode(refusal.get().code());
    } else {
      grant.setTicket(ledger.issue(request.getService()).text());
      metrics.orders.labelValues("ticket_issued").inc();
    }
    connection.send(Envelope.newBuilder().setTicketGrant(grant).build());
  }

  /** Answers with the status of a ticket. */
  void inquire(PeerConnection connection, long callNumber, String ticket) {
    connection.send(Envelopes.ticketState(callNumber, ledger.status(ticket).code()));
  }

  /** Seals a ticket and answers with its status; returns the serial if its order waited. */
  Optional<Long> seal(PeerConnection connection, long callNumber, String ticket) {
    TicketStatus before = ledger.status(ticket);
    connection.send(Envelopes.ticketState(callNumber, ledger.seal(ticket).code()));
    return before == TicketStatus.WAITING
        ? OrderTicket.parse(ticket).map(OrderTicket::serial)
        : Optional.empty();
  }

  /** Returns what identifies the content of an order: its method, path and body. */
  static byte[] digest(ServiceCall call) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(
          (call.getMethod() + "\n" + call.getPath() + "\n").getBytes(StandardCharsets.UTF_8));
      digest.update(call.getBody().asReadOnlyByteBuffer());
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns an answer as the ledger kept it. */
  static ServiceAnswer answer(byte[] kept) {
    try {
      return ServiceAnswer.parseFrom(ByteString.copyFrom(kept));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a kept answer was written by this process", e);
    }
  }
}
