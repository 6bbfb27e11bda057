package org.shallothold.gateway.forward.peer;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.EngineSpeed;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PartSuspicion;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.PublishedItem;
import org.shallothold.wire.proto.PublishedItems;
import org.shallothold.wire.proto.WorkChanges;

/**
 * Prints the bytes that one gateway sends to its peers in a second, for several sizes of the fleet:
 * the sizes of messages are measured, in the form for older builds, which all had before, and in
 * the current one; their numbers follow from the settings and from the load assumed here.
 */
final class PeerTrafficSlopeProgram {

  private static final int[] GATEWAYS = {12, 23, 100, 300, 1_100};
  private static final double SERVERS_PER_GATEWAY = 2.5;
  private static final int MAX_PEERS = 24;
  private static final int SERVICES = 4;
  private static final double REQUESTS_PER_SECOND = 8;
  private static final int PARTS_PER_REQUEST = 6;
  private static final int UPDATE_MILLIS = 600;
  private static final int ANNOUNCEMENT_MILLIS = 150;
  // A server's entry changes this often while servers flap.
  private static final double CHANGES_PER_SERVER_AND_SECOND = 0.05;
  private static final double ENDS_PER_SERVER_AND_SECOND = 0.002;
  private static final int PARTS_PER_END = 60;
  // Gateways that report the same part of an engine's end.
  private static final double REPORTS_PER_PART = 2;
  private static final double REPEAT_SECONDS = 3;
  private static final double REPEATED_SECONDS = 15;
  private static final int SECOND_SOURCES = 2;
  private static final int ITEM_BYTES = 300;
  private static final int WHOLE_STATE_INTERVAL = 100;

  private final Random random = new Random(1);
  private final int gateways;
  private final int servers;
  private final int peers;

  private PeerTrafficSlopeProgram(int gateways) {
    this.gateways = gateways;
    this.servers = (int) (gateways * SERVERS_PER_GATEWAY);
    this.peers = Math.min(gateways - 1, MAX_PEERS);
  }

  /** Prints the table. */
  public static void main(String[] arguments) {
    System.out.println(
        "gateways servers peers | B/s of one gateway, before: updates announcements requests"
            + " evidence sum | after: the same | items on demand before after");
    for (int count : GATEWAYS) {
      new PeerTrafficSlopeProgram(count).print();
    }
  }

  private void print() {
    double updates = 1_000.0 / UPDATE_MILLIS;
    double announcements =
        Math.min(
            1_000.0 / ANNOUNCEMENT_MILLIS - updates,
            Math.max(0, servers * CHANGES_PER_SERVER_AND_SECOND));
    SentState sent = new SentState();
    FleetNews first = sent.next(state(0), addressAges(), 0).whole();
    int wholeBytes = first.getSerializedSize();
    FleetNews periodic = difference(sent, UPDATE_MILLIS, changedBetween(updates + announcements));
    FleetNews announcement =
        difference(
            sent, UPDATE_MILLIS + ANNOUNCEMENT_MILLIS, changedBetween(updates + announcements));
    double[] before = {
      peers * updates * wholeBytes,
      peers * announcements * wholeBytes,
      peers * REQUESTS_PER_SECOND * request().getSerializedSize(),
      evidenceBefore()
    };
    double[] after = {
      peers * updates * (periodic.getSerializedSize() + (double) wholeBytes / WHOLE_STATE_INTERVAL),
      peers * announcements * announcement.getSerializedSize(),
      peers * REQUESTS_PER_SECOND * CompactForm.compact(request()).getSerializedSize(),
      evidenceAfter()
    };
    System.out.printf(
        "%d %d %d | %s| %s| %d %d%n",
        gateways, servers, peers, text(before), text(after), items(servers), items(3));
  }

  private static String text(double[] parts) {
    StringBuilder text = new StringBuilder();
    double sum = 0;
    for (double part : parts) {
      text.append(Math.round(part)).append(' ');
      sum += part;
    }
    return text.append(Math.round(sum)).append(' ').toString();
  }

  /** Servers at which a gateway's work changes between two messages: begins and ends. */
  private int changedBetween(double messagesPerSecond) {
    return (int) Math.min(servers, Math.ceil(2 * REQUESTS_PER_SECOND / messagesPerSecond));
  }

  private FleetNews difference(SentState sent, long nowMillis, int changed) {
    return Objects.requireNonNull(sent.next(state(changed), addressAges(), nowMillis).difference());
  }

  private static String server(int index) {
    return "engine-" + (1_000 + index) + "-model";
  }

  private OpenWork work(int index, int requests) {
    return OpenWork.newBuilder()
        .setServerId(server(index))
        .setRequests(requests)
        .setReadMillis(100 + index % 200)
        .setTightStreams(1)
        .setSentReadMillis(50_000 + index)
        .build();
  }

  private FleetNews state(int changed) {
    FleetNews.Builder state =
        FleetNews.newBuilder()
            .setProcessId("frontend-gateway-1")
            .setAddress("10.20.30.40:9463")
            .setConfigurationChangedAt(1_000_000)
            .setServersChangedAt(2_000_000 + changed);
    for (int i = 0; i < servers; i++) {
      state.addOpenWork(work(i, i < changed ? 2 + random.nextInt(5) : 1));
    }
    for (int i = 0; i < SERVICES; i++) {
      String service = "model-service-" + i;
      state
          .putTightLoad(service, random.nextInt(900))
          .putHeavyLoad(service, random.nextInt(900))
          .putEngineSpeeds(
              service,
              EngineSpeed.newBuilder()
                  .setTokenMillis(random.nextDouble())
                  .setPairMillis(random.nextDouble())
                  .setReadSamples(500)
                  .setStepMillis(random.nextDouble())
                  .setStepSamples(500)
                  .setReadingPauseMillis(random.nextDouble())
                  .setPauseSamples(500)
                  .build());
    }
    return state.build();
  }

  private Map<String, Long> addressAges() {
    Map<String, Long> ages = new TreeMap<>();
    for (int i = 1; i < gateways; i++) {
      ages.put("10.20." + i / 200 + "." + (10 + i % 200) + ":9463", 100L + random.nextInt(1_500));
    }
    return ages;
  }

  private WorkChanges request() {
    WorkChanges.Builder changes = WorkChanges.newBuilder().addOpenWork(work(1, 3));
    for (int i = 0; i < PARTS_PER_REQUEST; i++) {
      changes.addPrefixReads(
          PrefixRead.newBuilder()
              .setServerId(server(1))
              .setChainHash(random.nextLong())
              .setTokens(200 + i));
    }
    return changes.build();
  }

  private WorkChanges evidence() {
    CrashEvidence.Builder evidence = CrashEvidence.newBuilder();
    for (int i = 0; i < PARTS_PER_END; i++) {
      evidence.addSuspicions(
          PartSuspicion.newBuilder()
              .setPartId(random.nextLong())
              .setServerId(server(1))
              .setCrashAgeMillis(40)
              .setSentAgeMillis(200 + i));
    }
    return WorkChanges.newBuilder().setCrashEvidence(evidence).build();
  }

  private double ends() {
    return servers * ENDS_PER_SERVER_AND_SECOND;
  }

  /** Each gateway passed on each piece of evidence once, and repeated it to all peers. */
  private double evidenceBefore() {
    double bytes = ends() * evidence().getSerializedSize();
    double repeated = bytes * REPEATED_SECONDS / REPEAT_SECONDS;
    return peers * (bytes + repeated);
  }

  /**
   * The sources tell all peers. Then second sources pass it on, and each gateway passes it on to
   * the peers that don't get it from its source, which are all with many gateways.
   */
  private double evidenceAfter() {
    double bytes = ends() * CompactForm.compact(evidence()).getSerializedSize();
    double fromSources = bytes * REPORTS_PER_PART * peers / gateways;
    double uninformed = peers * (1 - (peers + 1.0) / gateways);
    double passedOn = bytes * Math.max(SECOND_SOURCES, uninformed);
    double repeated = bytes * REPEATED_SECONDS / REPEAT_SECONDS * SECOND_SOURCES;
    return fromSources + passedOn + repeated;
  }

  private int items(int count) {
    PublishedItems.Builder items = PublishedItems.newBuilder();
    for (int i = 0; i < count; i++) {
      items.addItems(
          PublishedItem.newBuilder()
              .setKey("servers/" + server(i))
              .setValue(ByteString.copyFrom(new byte[ITEM_BYTES]))
              .setRevision(2_000_000 + i));
    }
    return items.build().getSerializedSize();
  }
}
