package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.membership.Member;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ExplainRequest;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Leaving;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.StatusRequest;

/** Guards against interrupted requests and new work for leaving servers when the fleet changes. */
class FleetChangeTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final FakeSidecar one = fixture.engine("engine-1");
  private final FakeSidecar two = fixture.engine("engine-2");

  @AfterEach
  void close() {
    fixture.close();
  }

  private void awaitVersion(long version) {
    GatewayFixture.await(
        "version " + version, () -> fixture.metric("shallothold_config_version_number") == version);
  }

  /** Sends requests until the first engine gets none of several consecutive ones. */
  private void awaitNoNewWorkAtFirstEngine() {
    GatewayFixture.await(
        "no new work at engine-1",
        () -> {
          long before = one.count(Envelope.MessageCase.SUBMIT);
          for (int request = 0; request < 10; request++) {
            assertEquals(200, fixture.join(fixture.complete(false)).statusCode());
          }
          return one.count(Envelope.MessageCase.SUBMIT) == before;
        });
  }

  /** Starts a stream that the first engine holds open. */
  private CompletableFuture<HttpResponse<String>> streamAtFirstEngine() {
    for (int tries = 0; tries < 100; tries++) {
      fixture.script(
          arrival -> {
            if (arrival.sidecar() == one) {
              Play.STALLED.accept(arrival);
            } else {
              Play.WHOLE.accept(arrival);
            }
          });
      // This class tolerates long pauses in a stream.
      var answer = fixture.complete(true, "Shallothold-Class", "batch");
      int expected = tries + 1;
      GatewayFixture.await("arrived", () -> fixture.arrivals.size() == expected);
      if (fixture.arrivals.getLast().sidecar() == one) {
        return answer;
      }
    }
    throw new AssertionError("engine-1 got none of 100 requests");
  }

  @ParameterizedTest
  @ValueSource(strings = {"leaving frame", "members", "draining", "removed", "address"})
  void serverThatGoesGetsNoNewWorkAndItsStreamsEndWhole(String news) {
    fixture.start();
    var answer = streamAtFirstEngine();
    FakeSidecar.Arrival arrival = fixture.arrivals.getLast();
    switch (news) {
      case "leaving frame" ->
          one.connections
              .getLast()
              .send(
                  Envelope.newBuilder()
                      .setLeaving(Leaving.newBuilder().setServerId("engine-1"))
                      .build());
      case "members" ->
          fixture.members(
              new MembershipView(List.of(new Member("engine-1", Member.Role.SIDECAR, "d1", true))));
      case "draining" -> fixture.publish(item -> item.withDraining(item.id().equals("engine-1")));
      case "removed" -> {
        fixture.servers.remove("engine-1");
        fixture.publishWithout("engine-1");
      }
      default -> {
        // Nothing listens at the new address, so the server can't accept work there.
        fixture.publish(
            item -> item.id().equals("engine-1") ? withAddress(item, "127.0.0.1:9") : item);
      }
    }
    awaitNoNewWorkAtFirstEngine();
    if (news.equals("members")) {
      GatewayFixture.await(
          "the sidecar is told", () -> one.count(Envelope.MessageCase.LEAVING_NOTICE) == 1);
    }
    assertFalse(answer.isDone());
    arrival.tokens(2, "cdef");
    arrival.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
    assertEquals(Play.ANSWER, SeenAnswer.of(fixture.join(answer)).text());
    assertEquals(0, one.count(Envelope.MessageCase.CANCEL));
    // An interrupted stream would have been resumed on another server in a new attempt.
    assertEquals(
        1,
        fixture.arrivals.stream()
            .filter(
                other -> other.attempt().getRequestNumber() == arrival.attempt().getRequestNumber())
            .count());
    if (news.equals("removed") || news.equals("address")) {
      GatewayFixture.await("the idle connection closes", one.connections::isEmpty);
    }
  }

  private static BackendServer withAddress(BackendServer server, String address) {
    return new BackendServer(
        server.id(),
        server.kind(),
        address,
        server.failureDomain(),
        server.models(),
        server.service(),
        server.maxRunning(),
        server.maxWaiting(),
        server.checksFencing(),
        server.draining());
  }

  @Test
  void addedServerGetsWork() {
    fixture.start();
    FakeSidecar three = fixture.engine("engine-3");
    fixture.publish(item -> item);
    awaitVersion(2);
    GatewayFixture.await(
        "work at engine-3",
        () ->
            fixture.join(fixture.complete(false)).statusCode() == 200
                && three.count(Envelope.MessageCase.SUBMIT) > 0);
  }

  @Test
  void silentSidecarIsTreatedAsLost() {
    fixture.setting("routing.silence_ms", "500");
    fixture.start();
    fixture.script(Play.SILENT);
    var answer = fixture.complete(false, "Shallothold-Class", "batch");
    GatewayFixture.await("arrived", () -> fixture.arrivals.size() == 1);
    // The fake sends heartbeats from its event loops, so the loop itself has to be blocked.
    fixture.freeze(fixture.arrivals.getFirst().sidecar());
    assertEquals(Play.ANSWER, SeenAnswer.of(fixture.join(answer)).text());
    fixture.thaw();
  }

  @Test
  void leavingGatewayKeepsServingAndInterruptsNothing() {
    fixture.setting("drain.grace_ms", "3000");
    fixture.start();
    fixture.script(Play.STALLED);
    var stream = fixture.complete(true, "Shallothold-Class", "batch");
    GatewayFixture.await("arrived", () -> fixture.arrivals.size() == 1);
    Thread drain = new Thread(fixture.gateway()::drain, "test-drain");
    drain.start();
    GatewayFixture.await("not ready", () -> fixture.status("/health/ready") == 503);
    assertEquals(200, fixture.join(fixture.complete(false)).statusCode());
    GatewayFixture.await(
        "new requests are refused",
        () -> fixture.join(fixture.complete(false)).statusCode() == 503);
    assertTrue(drain.isAlive());
    fixture.arrivals.getFirst().tokens(2, "cdef");
    fixture.arrivals.getFirst().finished(FinishKind.FINISH_KIND_COMPLETE, 6);
    assertEquals(Play.ANSWER, SeenAnswer.of(fixture.join(stream)).text());
    GatewayFixture.await("drained", () -> !drain.isAlive());
  }

  @Test
  void operatorSeesServersAndTheHistoryOfARequest() {
    fixture.start();
    fixture.script(Play.FULL);
    String id =
        fixture
            .join(fixture.complete(false))
            .headers()
            .firstValue("Shallothold-Request-Id")
            .orElseThrow();
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    List<Envelope> reports = new java.util.concurrent.CopyOnWriteArrayList<>();
    PeerClient client =
        PeerClient.start(
            group,
            new InetSocketAddress(
                InetAddress.getLoopbackAddress(), fixture.gateway().operatorPort()),
            GatewayFixture.LIMITS,
            () ->
                Hello.newBuilder()
                    .setRole(Role.ROLE_OPERATOR)
                    .setIncarnation(ByteString.copyFromUtf8("operator"))
                    .build(),
            new PeerListener() {
              @Override
              public void connected(PeerConnection connection, Hello hello) {
                connection.send(
                    Envelope.newBuilder()
                        .setStatusRequest(StatusRequest.newBuilder().setCallNumber(1))
                        .build());
                connection.send(
                    Envelope.newBuilder()
                        .setExplainRequest(
                            ExplainRequest.newBuilder().setCallNumber(2).setRequestId(id))
                        .build());
              }

              @Override
              public void received(PeerConnection connection, Envelope envelope) {
                reports.add(envelope);
              }

              @Override
              public void disconnected(PeerConnection connection) {}
            },
            null);
    GatewayFixture.await("two reports", () -> reports.size() == 2);
    var status = SeenAnswer.json(reports.get(0).getStatusReport().getJson().toStringUtf8());
    assertEquals(2, status.path("details").path("servers").size());
    var explained = SeenAnswer.json(reports.get(1).getExplainReport().getJson().toStringUtf8());
    assertEquals("completed", explained.path("outcome").asText());
    assertEquals(
        List.of("submitted", "refused", "submitted", "started", "completed"),
        explained.path("events").findValuesAsText("event"));
    client.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    assertEquals(2, two.connections.size() + one.connections.size());
  }
}
