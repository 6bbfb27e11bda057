package org.shallothold.scenarios.headers;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;

/**
 * Many callers whose requests of legal size consist of very many header lines, against the
 * product's own front end with a small heap and one slow engine. Guards against a process that runs
 * out of memory because it bounds the bytes of requests and not what they occupy. Says nothing
 * about how many of the crowd are served.
 */
class FrontEndHeaderLinesTest {

  private static final int CALLERS = 240;
  private static final int PIPELINING_CALLERS = 60;
  private static final int CALLERS_OF_EACH_KIND = 60;
  private static final int HEAP_MEGABYTES = 64;
  private static final int RESIDENT_MEGABYTES = 300;
  // The caller's connection; requests to the engine share those to its sidecar.
  private static final int DESCRIPTORS_PER_CALLER = 1;
  private static final int OTHER_DESCRIPTORS = 200;
  // Longer than the deadline of the crowd's requests.
  private static final int PATIENCE_MILLIS = 6_000;
  private static final int ENGINE_WAITING = 400;
  private static final int MAX_START_REQUESTS = 400;
  private static final long START_POLL_MILLIS = 50;

  @TempDir private Path folder;
  private Fleet fleet;
  private GatewayProcess gateway;

  /** Returns the request line and the fields that each request has. */
  private static String start(int deadlineMillis) {
    return """
        POST /v1/chat/completions HTTP/1.1\r
        Host: gateway\r
        Connection: close\r
        Authorization: Bearer %s\r
        Shallothold-Deadline-Ms: %d\r
        """
        .formatted(FleetPlan.key("miller"), deadlineMillis);
  }

  private static String withLength(String start, String body) {
    return start + "Content-Length: " + body.length() + "\r\n";
  }

  private static String body(int tokens) {
    return """
        {"model":"model","stream":false,"length_hint":%d,
        "messages":[{"role":"user","content":"crowd"}]}"""
        .formatted(tokens);
  }

  private static final String ORDINARY = withLength(start(30_000), body(1)) + "\r\n" + body(1);
  private static final String CROWD_BODY = body(400);
  private static final String CROWD_START = start(4_000);
  private static final String CROWD_START_WITH_LENGTH = withLength(CROWD_START, CROWD_BODY);
  private static final String PIPELINED_START =
      CROWD_START_WITH_LENGTH.replace("Connection: close\r\n", "");

  @BeforeEach
  void startGateway() throws Exception {
    fleet =
        Fleet.start(
            FleetPlan.of(0, 1, 0)
                .withEngines(2, ENGINE_WAITING, "--max-batch", "2", "--step-base-ms", "20"));
    int callerPort = GatewayProcess.freePort();
    Path settings = folder.resolve("gateway.toml");
    Files.writeString(
        settings,
        """
        [process]
        id = "gateway-1"
        failure_domain = "hopper-hall"

        [http]
        listen = "127.0.0.1:%d"

        [operator]
        listen = "127.0.0.1:%d"

        [platform]
        url = "%s"
        """
            .formatted(callerPort, GatewayProcess.freePort(), fleet.standin("platform")));
    // As in bin/shallothold-gateway, with a smaller heap.
    gateway =
        GatewayProcess.start(
            "gateway",
            "org.shallothold.gateway.GatewayMain",
            List.of(
                "-Xms16m",
                "-Xmx" + HEAP_MEGABYTES + "m",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=4",
                "-Xss512k"),
            List.of("--settings", settings.toString()),
            Map.of(),
            folder,
            callerPort);
    awaitFirstAnswer();
  }

  private void awaitFirstAnswer() throws Exception {
    for (int i = 0; i < MAX_START_REQUESTS; i++) {
      gateway.assertAlive();
      try {
        if (Crowd.ask(gateway.callerPort(), ORDINARY).startsWith("HTTP/1.1 200 ")) {
          return;
        }
      } catch (IOException e) {
        // The gateway does not listen yet.
      }
      Thread.sleep(START_POLL_MILLIS);
    }
    throw new AssertionError("the gateway did not start");
  }

  @AfterEach
  void stop() {
    gateway.close();
    fleet.close();
  }

  private void gatewayWithstands(Stream<byte[]> crowd) throws Exception {
    List<byte[]> requests = crowd.toList();
    int unused =
        Crowd.send(gateway.callerPort(), requests, PATIENCE_MILLIS, gateway::sampleDescriptors);
    gateway.assertWithin(
        RESIDENT_MEGABYTES, DESCRIPTORS_PER_CALLER * requests.size() + OTHER_DESCRIPTORS);
    gateway.assertAnswers(ORDINARY);
  }

  private static Stream<byte[]> times(int callers, Supplier<byte[]> request) {
    return Collections.nCopies(callers, request.get()).stream();
  }

  @Test
  void shortLines() throws Exception {
    gatewayWithstands(
        times(CALLERS, () -> HeaderLines.SHORT.request(CROWD_START_WITH_LENGTH, CROWD_BODY)));
  }

  @Test
  void oneRepeatedName() throws Exception {
    gatewayWithstands(
        times(
            CALLERS, () -> HeaderLines.REPEATED_NAME.request(CROWD_START_WITH_LENGTH, CROWD_BODY)));
  }

  @Test
  void oddNamesAndEmptyValues() throws Exception {
    gatewayWithstands(
        times(CALLERS, () -> HeaderLines.ODD.request(CROWD_START_WITH_LENGTH, CROWD_BODY)));
  }

  @Test
  void headsNeverCompleted() throws Exception {
    gatewayWithstands(times(CALLERS, () -> HeaderLines.REPEATED_NAME.incompleteHead(CROWD_START)));
  }

  @Test
  void trailersNeverCompleted() throws Exception {
    gatewayWithstands(
        times(CALLERS, () -> HeaderLines.REPEATED_NAME.incompleteTrailers(CROWD_START)));
  }

  @Test
  void pipelinedRequests() throws Exception {
    gatewayWithstands(
        times(PIPELINING_CALLERS, () -> HeaderLines.SHORT.pipelined(PIPELINED_START, CROWD_BODY)));
  }

  @Test
  void allKindsAtOnce() throws Exception {
    gatewayWithstands(
        Stream.of(
                times(
                    CALLERS_OF_EACH_KIND,
                    () -> HeaderLines.SHORT.request(CROWD_START_WITH_LENGTH, CROWD_BODY)),
                times(CALLERS_OF_EACH_KIND, () -> HeaderLines.ODD.incompleteHead(CROWD_START)),
                times(
                    CALLERS_OF_EACH_KIND,
                    () -> HeaderLines.REPEATED_NAME.incompleteTrailers(CROWD_START)),
                times(
                    CALLERS_OF_EACH_KIND,
                    () -> HeaderLines.ODD.pipelined(PIPELINED_START, CROWD_BODY)))
            .flatMap(requests -> requests));
  }
}
