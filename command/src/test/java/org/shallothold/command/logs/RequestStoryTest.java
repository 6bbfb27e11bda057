package org.shallothold.command.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** From a request's id to its cause, by collected log lines alone. */
class RequestStoryTest {

  private static final List<String> FIRST =
      List.of(
          "{\"time\":\"2026-01-01T00:00:00Z\",\"process\":\"one\","
              + "\"event\":\"configuration_in_force\",\"version\":7,\"source\":\"platform\"}",
          "{\"time\":\"2026-01-01T00:00:01Z\",\"process\":\"one\","
              + "\"event\":\"platform_contact_lost\",\"topic\":\"SERVERS\",\"reason\":\"reset\"}",
          "12.5 one {\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\","
              + "\"event\":\"answer_failed\",\"request\":\"r1\",\"server\":\"s1\","
              + "\"reason\":\"connection closed\",\"last_event\":4}",
          "{\"time\":\"2026-01-01T00:00:04Z\",\"process\":\"one\",\"event\":\"request_en");
  private static final List<String> SECOND =
      List.of(
          "{\"time\":\"2026-01-01T00:00:03.500Z\",\"process\":\"one\","
              + "\"event\":\"request_ended\",\"request\":\"r1\",\"outcome\":\"may_have_run\","
              + "\"cause\":\"backend_failed\"}",
          "no log line");

  @TempDir private Path directory;

  private LogFiles logs() throws IOException {
    Path first = Files.write(directory.resolve("first.log"), FIRST);
    Path second = Files.write(directory.resolve("second.log"), SECOND);
    return LogFiles.read(List.of(second.toString(), first.toString()));
  }

  @Test
  void linesOfAllFilesAreMergedByTime() throws IOException {
    assertEquals(
        List.of("answer_failed", "request_ended"),
        logs().of("r1").stream().map(LogEntry::event).toList());
  }

  @Test
  void causeNamesTheServerThatFailed() throws IOException {
    assertEquals(
        "cause: the backend server failed (s1: connection closed)",
        RequestStory.of(logs(), "r1").getLast());
  }

  /** Guards against telling what a process believed before it was killed and started again. */
  @Test
  void beliefsOfAnEarlierLifeAreLeftOut() throws IOException {
    Path restart =
        Files.write(
            directory.resolve("restart.log"),
            List.of(
                "{\"time\":\"2026-01-01T00:00:02Z\",\"process\":\"one\",\"event\":\"started\"}"));
    logs();
    LogFiles both =
        LogFiles.read(
            List.of(
                directory.resolve("first.log").toString(),
                directory.resolve("second.log").toString(),
                restart.toString()));
    assertTrue(
        RequestStory.of(both, "r1").stream().noneMatch(line -> line.contains("configuration")));
  }

  /** Guards against a 404 that doesn't lead to a platform that came back from an older copy. */
  @Test
  void restoreOfThePlatformIsTold() throws IOException {
    assertTrue(
        storyWith(
                "{\"time\":\"2026-01-01T00:00:02Z\",\"process\":\"one\","
                    + "\"event\":\"platform_restored\",\"topic\":\"CONFIGURATION\","
                    + "\"era\":2,\"former_era\":1,\"missing\":0,\"outdated\":1}")
            .contains(
                "one had read era 2 of the platform after era 1 (CONFIGURATION) for 1500 ms;"
                    + " 0 items missing, 1 outdated"));
  }

  /** Guards against a late answer that doesn't lead to the connection that delayed it. */
  @Test
  void heldEventLoopIsToldWithItsConnection() throws IOException {
    List<String> story =
        storyWith(
            heldLine("2026-01-01T00:00:03.700Z", "one"),
            heldLine("2026-01-01T00:00:03.700Z", "two"),
            heldLine("2026-01-01T00:00:01Z", "one"));
    assertEquals(
        List.of(
            "2026-01-01T00:00:03.700Z one: its event loop was held for 900 ms,"
                + " of which the server s2 (request 'r9') took 870 ms for 1048576 bytes"),
        story.stream().filter(line -> line.contains("event loop")).toList());
  }

  /** Guards against a slow response that doesn't lead to the work that its bytes make. */
  @Test
  void deferredReadsAreToldForTheRequestThatCausedThem() throws IOException {
    List<String> story =
        storyWith(
            heldLine("2026-01-01T00:00:05Z", "one")
                .replace("event_loop_held", "reads_deferred")
                .replace("r9", "r1"));
    assertTrue(
        story.contains(
            "2026-01-01T00:00:05Z one: bytes of its server s2 took turns with others,"
                + " since they made much work: last 870 ms for 1048576 bytes"),
        story.toString());
    assertEquals("cause: the backend server failed (s1: connection closed)", story.getLast());
  }

  /** Returns the story of request r1 if one of the processes wrote further lines. */
  private List<String> storyWith(String... lines) throws IOException {
    Path further = Files.write(directory.resolve("further.log"), List.of(lines));
    logs();
    LogFiles all =
        LogFiles.read(
            List.of(
                directory.resolve("first.log").toString(),
                directory.resolve("second.log").toString(),
                further.toString()));
    return RequestStory.of(all, "r1");
  }

  private static String heldLine(String time, String process) {
    return ("{\"time\":\"%s\",\"process\":\"%s\",\"event\":\"event_loop_held\",\"delay_millis\":900,"
            + "\"read_millis\":880,\"busiest\":\"server\",\"busiest_name\":\"s2\",\"busiest_request\":\"r9\","
            + "\"busiest_millis\":870,\"busiest_bytes\":1048576}")
        .formatted(time, process);
  }

  /** Guards against a cause that hides how old the gateway's view was. */
  @Test
  void beliefsAreToldWithTheirAge() throws IOException {
    List<String> story = RequestStory.of(logs(), "r1");
    assertTrue(
        story.contains("one held configuration 7 from platform, in force for 3500 ms"),
        story.toString());
    assertTrue(
        story.contains(
            "one had been out of contact with the platform for 2500 ms (SERVERS: reset)"),
        story.toString());
  }

  /** Guards against a request that was held for a server's rate without a word on that rate. */
  @Test
  void statedRateIsToldWithItsSourceAndAge() throws IOException {
    Path file =
        Files.write(
            directory.resolve("rate.log"),
            List.of(
                "{\"time\":\"2026-01-01T00:00:01Z\",\"process\":\"one\","
                    + "\"event\":\"server_rate_stated\",\"server\":\"s1\",\"source\":\"two\"}",
                "{\"time\":\"2026-01-01T00:00:02Z\",\"process\":\"one\","
                    + "\"event\":\"server_rate_stated\",\"server\":\"s2\",\"source\":\"three\"}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r2\","
                    + "\"event\":\"server_over_rate\",\"server\":\"s1\",\"stated_rate\":\"1.1\"}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r2\","
                    + "\"event\":\"request_ended\",\"outcome\":\"not_run\","
                    + "\"cause\":\"server_rate_limit\"}"));
    List<String> story = RequestStory.of(LogFiles.read(List.of(file.toString())), "r2");
    assertTrue(
        story
            .getFirst()
            .endsWith("no permit for s1, which states 1.1 requests a second for all gateways"),
        story.toString());
    assertTrue(story.contains("one knew the rate of s1 from two for 2000 ms"), story.toString());
    assertEquals(
        "cause: every server that could take it gets as many requests as it states",
        story.getLast());
  }

  /** Guards against a request that was held for a cold server without a word on that server. */
  @Test
  void coldServerIsToldWithItsSourceAndAge() throws IOException {
    Path file =
        Files.write(
            directory.resolve("cold.log"),
            List.of(
                "{\"time\":\"2026-01-01T00:00:01Z\",\"process\":\"one\","
                    + "\"event\":\"server_cold\",\"server\":\"s1\",\"source\":\"entry\"}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r2\","
                    + "\"event\":\"server_over_rate\",\"server\":\"s1\",\"stated_rate\":\"none\","
                    + "\"ramp_up_window\":4,\"ramp_up_age_millis\":2000,"
                    + "\"cold_millis\":6000,\"cold_rate\":\"6.5\"}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r2\","
                    + "\"event\":\"server_over_rate\",\"server\":\"s2\",\"stated_rate\":\"none\","
                    + "\"ramp_up_window\":4,\"ramp_up_age_millis\":2000}"));
    List<String> story = RequestStory.of(LogFiles.read(List.of(file.toString())), "r2");
    assertTrue(
        story
            .getFirst()
            .endsWith(
                "no permit for s1, which is cold for another 6000 ms and gets 6.5 requests a second"),
        story.toString());
    assertTrue(
        story
            .get(1)
            .endsWith(
                "no permit for s2, which started or recovered 2000 ms before; its window is 4"
                    + " requests"),
        story.toString());
    assertTrue(story.contains("one knew that s1 is cold from entry for 2000 ms"), story.toString());
  }

  /**
   * Guards against a request refused for its prompt without a word on the part and the evidence.
   */
  @Test
  void blockedPartIsToldWithItsEvidence() throws IOException {
    Path file =
        Files.write(
            directory.resolve("part.log"),
            List.of(
                "{\"time\":\"2026-01-01T00:00:01Z\",\"process\":\"one\","
                    + "\"event\":\"prompt_part_standing\",\"standing\":\"blocked\","
                    + "\"former\":\"quarantined\",\"source\":\"two\",\"part\":\"1a91\"}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r3\","
                    + "\"event\":\"prompt_part_blocked\",\"part\":\"1a91\","
                    + "\"ended_servers\":\"s1,s2\",\"last_end_age_millis\":2100}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\",\"request\":\"r3\","
                    + "\"event\":\"request_ended\",\"outcome\":\"not_run\","
                    + "\"cause\":\"prompt_part_blocked\"}"));
    List<String> story = RequestStory.of(LogFiles.read(List.of(file.toString())), "r3");
    assertTrue(
        story
            .getFirst()
            .endsWith(
                "part 1a91 of its prompt is blocked, last because s1,s2 ended 2100 ms before"),
        story.toString());
    assertTrue(
        story.contains("one regarded part 1a91 as blocked for 2000 ms, by evidence from two"),
        story.toString());
    assertEquals(
        "cause: a part of its prompt ended backend servers, so requests with it are refused for a"
            + " time",
        story.getLast());
  }

  /** Guards against a cut line ending the whole reading. */
  @Test
  void cutLinesAreCounted() throws IOException {
    assertEquals(1, logs().skipped());
  }

  /** Guards against a mixed response that neither of the two requests' explanations mentions. */
  @Test
  void bytesOfAnotherResponseAreToldForBothRequests() throws IOException {
    Path file =
        Files.write(
            directory.resolve("foreign.log"),
            List.of(
                "{\"time\":\"2026-01-01T00:00:01Z\",\"process\":\"one\","
                    + "\"event\":\"request_ended\",\"request\":\"r1\",\"outcome\":\"completed\"}",
                "{\"time\":\"2026-01-01T00:00:02Z\",\"process\":\"one\","
                    + "\"event\":\"foreign_response\",\"request\":\"r2\",\"server\":\"s1\","
                    + "\"place\":\"before_response\",\"bytes\":9,\"named_request\":\"r1\","
                    + "\"last_request\":\"r1\",\"connection_age_millis\":70,"
                    + "\"since_last_response_millis\":40}",
                "{\"time\":\"2026-01-01T00:00:03Z\",\"process\":\"one\","
                    + "\"event\":\"request_ended\",\"request\":\"r2\",\"outcome\":\"completed\"}"));
    LogFiles logs = LogFiles.read(List.of(file.toString()));
    assertTrue(RequestStory.of(logs, "r1").toString().contains("near request 'r2'"));
    String story = RequestStory.of(logs, "r2").toString();
    assertTrue(story.contains("which name request 'r1'"));
    assertTrue(story.contains("connection open for 70 ms, last response 40 ms before"));
  }
}
