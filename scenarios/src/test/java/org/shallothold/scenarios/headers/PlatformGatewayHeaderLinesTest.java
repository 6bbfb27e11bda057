package org.shallothold.scenarios.headers;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

/**
 * Many callers whose requests of legal size consist of very many header lines, against a gateway of
 * the platform build with a small heap. Guards against a process that runs out of memory because it
 * bounds the bytes of requests and not what they occupy. Says nothing about how many of the crowd
 * are served.
 */
class PlatformGatewayHeaderLinesTest {

  private static final int CALLERS = 120;
  // What they hold is not copied, since it never becomes a request.
  private static final int CALLERS_THAT_NEVER_COMPLETE = 300;
  private static final int CALLERS_WITH_ODD_LINES = 240;
  private static final int STATUS_CALLERS = 600;
  // Limit of the readiness address.
  private static final int STATUS_HEAD_BYTES = 8 * 1024;
  private static final int PIPELINING_CALLERS = 40;
  private static final int CALLERS_OF_EACH_KIND = 24;
  private static final int HEAP_MEGABYTES = 64;
  private static final int VM_MEGABYTES = 200;
  // The caller's connection, and one to the server.
  private static final int DESCRIPTORS_PER_CALLER = 2;
  private static final int OTHER_DESCRIPTORS = 100;
  private static final int MAX_START_REQUESTS = 400;
  private static final long START_POLL_MILLIS = 50;

  private static final String ORDINARY = start(PlatformSurroundings.ORDINARY_PATH) + "\r\n";

  @TempDir private Path folder;
  private PlatformSurroundings surroundings;
  private GatewayProcess gateway;
  private int readinessPort;

  /** Returns the request line and the fields that each request has. */
  private static String start(String path) {
    return """
        POST %s HTTP/1.1\r
        Host: gateway\r
        Connection: close\r
        Attempt-Id: 0123456789abcdef\r
        """
        .formatted(path);
  }

  private static String crowdStart() {
    return start(PlatformSurroundings.UNANSWERED_PATH);
  }

  /** As the others of a connection's requests, which must stay open. */
  private static String pipelinedStart() {
    return crowdStart().replace("Connection: close\r\n", "");
  }

  @BeforeEach
  void startGateway() throws Exception {
    surroundings = PlatformSurroundings.start();
    int callerPort = GatewayProcess.freePort();
    readinessPort = GatewayProcess.freePort();
    Path settings = folder.resolve("gateway.conf");
    Files.write(
        settings,
        List.of(
            "NodeName=gateway-1",
            "Zone=test",
            "Ip=127.0.0.1",
            "Listen.Front=127.0.0.1:" + callerPort,
            "Listen.Ready=127.0.0.1:" + readinessPort,
            "Limits.MemoryMb=" + VM_MEGABYTES,
            "Platform.Address=127.0.0.1:" + surroundings.storePort()));
    // As in deploy/system.toml, with a smaller heap.
    gateway =
        GatewayProcess.start(
            "platform",
            "org.shallothold.platform.PlatformMain",
            List.of(
                "-Xms16m",
                "-Xmx" + HEAP_MEGABYTES + "m",
                "-XX:+ExitOnOutOfMemoryError",
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.allocator.numDirectArenas=1",
                "-Dio.netty.allocator.numHeapArenas=1",
                "-Dio.netty.allocator.maxOrder=3"),
            List.of(),
            Map.of("SHALLOTHOLD_BOOT", settings.toString()),
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
  void stop() throws Exception {
    gateway.close();
    surroundings.close();
  }

  private void gatewayWithstands(Stream<byte[]> requests) throws Exception {
    gatewayWithstands(requests, gateway.callerPort());
  }

  private void gatewayWithstands(Stream<byte[]> crowd, int port) throws Exception {
    List<byte[]> requests = crowd.toList();
    int hanging = Crowd.send(port, requests, Crowd.LONG_MILLIS, gateway::sampleDescriptors);
    gateway.assertWithin(
        VM_MEGABYTES, DESCRIPTORS_PER_CALLER * requests.size() + OTHER_DESCRIPTORS);
    assertEquals(0, hanging, "callers without an answer");
    gateway.assertAnswers(ORDINARY);
  }

  private static Stream<byte[]> times(int callers, Supplier<byte[]> request) {
    return Collections.nCopies(callers, request.get()).stream();
  }

  @Test
  void shortLines() throws Exception {
    gatewayWithstands(times(CALLERS, () -> HeaderLines.SHORT.request(crowdStart(), "")));
  }

  @Test
  void oneRepeatedName() throws Exception {
    gatewayWithstands(times(CALLERS, () -> HeaderLines.REPEATED_NAME.request(crowdStart(), "")));
  }

  @Test
  void oddNamesAndEmptyValues() throws Exception {
    gatewayWithstands(
        times(CALLERS_WITH_ODD_LINES, () -> HeaderLines.ODD.request(crowdStart(), "")));
  }

  @Test
  void headsNeverCompleted() throws Exception {
    gatewayWithstands(
        times(
            CALLERS_THAT_NEVER_COMPLETE,
            () -> HeaderLines.REPEATED_NAME.incompleteHead(crowdStart())));
  }

  @Test
  void trailersNeverCompleted() throws Exception {
    gatewayWithstands(
        times(
            CALLERS_THAT_NEVER_COMPLETE,
            () -> HeaderLines.REPEATED_NAME.incompleteTrailers(crowdStart())));
  }

  @Test
  void headsNeverCompletedAtTheReadinessAddress() throws Exception {
    gatewayWithstands(
        times(
            STATUS_CALLERS,
            () ->
                HeaderLines.REPEATED_NAME.incompleteHead(
                    "GET /-/readiness HTTP/1.1\r\n", STATUS_HEAD_BYTES)),
        readinessPort);
  }

  @Test
  void pipelinedRequests() throws Exception {
    gatewayWithstands(
        times(PIPELINING_CALLERS, () -> HeaderLines.SHORT.pipelined(pipelinedStart(), "")));
  }

  @Test
  void allKindsAtOnce() throws Exception {
    gatewayWithstands(
        Stream.of(
                times(CALLERS_OF_EACH_KIND, () -> HeaderLines.SHORT.request(crowdStart(), "")),
                times(
                    CALLERS_OF_EACH_KIND,
                    () -> HeaderLines.REPEATED_NAME.request(crowdStart(), "")),
                times(CALLERS_OF_EACH_KIND, () -> HeaderLines.ODD.incompleteHead(crowdStart())),
                times(
                    CALLERS_OF_EACH_KIND,
                    () -> HeaderLines.REPEATED_NAME.incompleteTrailers(crowdStart())),
                times(CALLERS_OF_EACH_KIND, () -> HeaderLines.ODD.pipelined(pipelinedStart(), "")))
            .flatMap(requests -> requests));
  }
}
