package org.shallothold.gateway.forward.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.StateDifference;
import org.shallothold.wire.proto.WorkChanges;

/** Size of a message between gateways, by content. Immutable. */
final class MessageSize {

  private static final int HASH_BYTES = 4;

  private final Map<PeerTraffic.Content, Integer> bytesByContent;

  private MessageSize(Map<PeerTraffic.Content, Integer> bytesByContent) {
    this.bytesByContent = bytesByContent;
  }

  /** Measures a message with its length prefix. */
  static MessageSize of(Envelope envelope) {
    Map<PeerTraffic.Content, Integer> bytes = new EnumMap<>(PeerTraffic.Content.class);
    switch (envelope.getMessageCase()) {
      case FLEET_NEWS -> addUpdate(bytes, envelope.getFleetNews());
      case WORK_CHANGES -> addChanges(bytes, envelope.getWorkChanges());
      case PUBLISHED_ITEMS ->
          bytes.put(PeerTraffic.Content.ITEMS, size(envelope.getPublishedItems().getItemsList()));
      default -> {}
    }
    int payload = envelope.getSerializedSize();
    int whole = payload + CodedOutputStream.computeUInt32SizeNoTag(payload);
    int counted = bytes.values().stream().mapToInt(Integer::intValue).sum();
    bytes.put(PeerTraffic.Content.OTHER, whole - counted);
    return new MessageSize(bytes);
  }

  private static void addUpdate(Map<PeerTraffic.Content, Integer> bytes, FleetNews update) {
    StateDifference difference = update.getDifference();
    StateDifference removed =
        StateDifference.newBuilder()
            .addAllRemovedServerIds(difference.getRemovedServerIdsList())
            .build();
    bytes.put(
        PeerTraffic.Content.WORK, size(update.getOpenWorkList()) + removed.getSerializedSize());
    bytes.put(
        PeerTraffic.Content.PROMPT_PARTS,
        size(update.getPrefixReadsList()) + size(difference.getReadsByServerList()));
    bytes.put(PeerTraffic.Content.CRASH_EVIDENCE, size(update.getCrashEvidence()));
    FleetNews services =
        FleetNews.newBuilder()
            .putAllTightLoad(update.getTightLoadMap())
            .putAllHeavyLoad(update.getHeavyLoadMap())
            .putAllEngineSpeeds(update.getEngineSpeedsMap())
            .build();
    bytes.put(PeerTraffic.Content.SERVICES, services.getSerializedSize());
    FleetNews addresses =
        FleetNews.newBuilder()
            .addAllKnownAddresses(update.getKnownAddressesList())
            .addAllKnownAddressAgeMillis(update.getKnownAddressAgeMillisList())
            .build();
    StateDifference ages =
        StateDifference.newBuilder().addAllAddressAges(difference.getAddressAgesList()).build();
    bytes.put(
        PeerTraffic.Content.ADDRESSES, addresses.getSerializedSize() + ages.getSerializedSize());
  }

  private static void addChanges(Map<PeerTraffic.Content, Integer> bytes, WorkChanges changes) {
    bytes.put(PeerTraffic.Content.WORK, size(changes.getOpenWorkList()));
    bytes.put(
        PeerTraffic.Content.PROMPT_PARTS,
        size(changes.getPrefixReadsList()) + size(changes.getReadsByServerList()));
    bytes.put(
        PeerTraffic.Content.CRASH_EVIDENCE,
        size(changes.getCrashEvidence())
            + size(changes.getCompactEvidence())
            + HASH_BYTES * changes.getSentToCount());
  }

  /** Returns the size of a message in a field; that without content is absent. */
  private static int size(MessageLite element) {
    int bytes = element.getSerializedSize();
    return bytes == 0 ? 0 : fieldSize(bytes);
  }

  private static int size(Collection<? extends MessageLite> elements) {
    return elements.stream().mapToInt(element -> fieldSize(element.getSerializedSize())).sum();
  }

  /** Returns the size of a field that holds a message; its tag has one byte. */
  private static int fieldSize(int messageBytes) {
    return 1 + CodedOutputStream.computeUInt32SizeNoTag(messageBytes) + messageBytes;
  }

  /** Counts the message as sent. */
  void count(PeerTraffic traffic, PeerTraffic.Cause cause, PeerTraffic.Distance distance) {
    bytesByContent.forEach(
        (content, bytes) -> {
          if (bytes > 0) {
            traffic.sent(cause, content, distance, bytes);
          }
        });
  }
}
