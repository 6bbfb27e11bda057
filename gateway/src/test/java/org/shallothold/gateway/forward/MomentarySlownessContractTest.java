package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** Where requests go while a server states that work takes long on it at the moment. */
class MomentarySlownessContractTest {

  private static final int CALLS = 60;

  private static Script stating(int percent) {
    return exchange ->
        exchange.send(
            exchange.head(200, "X-Signed: s\r\nX-Momentary: " + percent + "\r\nContent-Length: 5")
                + "whole");
  }

  /** Guards against a statement that is read but changes nothing. */
  @Test
  void slowedServerGetsFewerRequests() throws IOException {
    try (ForwardFixture fixture = ForwardFixture.withServers(stating(400), stating(100))) {
      for (int call = 0; call < CALLS; call++) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.endsWith("whole"), response);
      }
      int slowed = fixture.first().requests().size();
      assertTrue(slowed < CALLS / 3, slowed + " of " + CALLS);
    }
  }
}
