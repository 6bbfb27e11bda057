package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Where requests go while operators evacuate failure domains, with servers on loopback. */
class EvacuationContractTest {

  private static final ScriptedServer.Script SUCCESS = exchange -> exchange.respond(200, "whole");
  // Twice the time in which gateways learn of a change from their peers.
  private static final long PEER_NEWS_MILLIS = 3_000;

  private static void awaitTrue(String what, BooleanSupplier condition)
      throws InterruptedException {
    long endMillis = MonotonicClock.millis() + PEER_NEWS_MILLIS;
    while (!condition.getAsBoolean()) {
      assertTrue(MonotonicClock.millis() < endMillis, what);
      Thread.sleep(20);
    }
  }

  /** Sends one request and returns the id of the server that got it; empty if none did. */
  private static String serverOf(ForwardFixture fixture, int gateway) {
    int before = fixture.first().requests().size();
    int total = fixture.receivedRequests();
    try {
      fixture.call(gateway, "/repeatable/x", "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (fixture.receivedRequests() == total) {
      return "";
    }
    return fixture.first().requests().size() > before ? "first" : "second";
  }

  @Nested
  class OneGateway {

    @Test
    void requestsGoToServersOfOtherFailureDomains() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SUCCESS, SUCCESS)) {
        assertEquals("first", serverOf(fixture, 0));
        fixture.publishEvacuations(0, 2, "north");
        assertEquals("second", serverOf(fixture, 0));
        fixture.publishEvacuations(0, 3);
        assertEquals("first", serverOf(fixture, 0));
      }
    }

    /** Guards against callers that wait while no server of a service may be used. */
    @Test
    void requestsAreRefusedAtOnceIfAllFailureDomainsAreEvacuated() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SUCCESS, SUCCESS)) {
        fixture.publishEvacuations(0, 2, "north", "south");
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("failure_domains_evacuated"), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after"), response);
        assertEquals(0, fixture.receivedRequests());
      }
    }

    /** Guards against an older list of the platform that ends an evacuation. */
    @Test
    void olderListDoesNotEndAnEvacuation() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SUCCESS, SUCCESS)) {
        fixture.publishEvacuations(0, 5, "north");
        fixture.publishEvacuations(0, 4);
        assertEquals("second", serverOf(fixture, 0));
      }
    }

    /** Guards against requests to a server that is listed while its domain is evacuated. */
    @Test
    void serverThatIsListedLaterIsEvacuatedToo() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
        fixture.publishEvacuations(0, 2, "north");
        fixture.configure(SUCCESS);
        fixture.publishEvacuations(0, 3, "north");
        assertEquals("", serverOf(fixture, 0));
      }
    }
  }

  @Nested
  class GatewayWithoutThePlatform {

    /** Guards against a gateway without the platform that goes on using an evacuated domain. */
    @Test
    void followsItsPeerInBothDirections() throws Exception {
      try (ForwardFixture fixture = ForwardFixture.withGateways(2, SUCCESS, SUCCESS)) {
        fixture.publishEvacuations(0, 5, "north");
        awaitTrue("begin of the evacuation", () -> serverOf(fixture, 1).equals("second"));
        fixture.publishEvacuations(0, 6);
        awaitTrue("end of the evacuation", () -> serverOf(fixture, 1).equals("first"));
      }
    }

    /** Guards against a gateway that starts during an evacuation and doesn't learn of it. */
    @Test
    void learnsOfTheEvacuationAtItsStart() throws Exception {
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, SUCCESS, SUCCESS)) {
        fixture.publishEvacuations(0, 5, "north");
        int added = fixture.addGateway();
        awaitTrue(
            "the new gateway avoids the domain", () -> serverOf(fixture, added).equals("second"));
      }
    }
  }
}
