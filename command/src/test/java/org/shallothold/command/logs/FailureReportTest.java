package org.shallothold.command.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What operators see of the failures in collected log lines. */
class FailureReportTest {

  @TempDir private Path directory;

  private static String line(int second, String process, String event, String fields) {
    return "{\"time\":\"2026-01-01T00:%02d:%02dZ\",\"process\":\"%s\",\"event\":\"%s\"%s}"
        .formatted(second / 60, second % 60, process, event, fields);
  }

  private static String ended(int second, String process, String request, String outcome) {
    String cause = outcome.equals("not_run") ? "queue_full" : "";
    return line(
        second,
        process,
        "request_ended",
        ",\"request\":\"%s\",\"outcome\":\"%s\",\"cause\":\"%s\""
            .formatted(request, outcome, cause));
  }

  private FailureReport report(List<String> lines) throws IOException {
    Path file = Files.write(directory.resolve("all.log"), lines);
    return FailureReport.of(LogFiles.read(List.of(file.toString())));
  }

  @Test
  void countsByCauseOutcomeAndRoute() throws IOException {
    FailureReport report =
        report(
            List.of(
                line(0, "one", "request_taken", ",\"request\":\"r1\",\"route\":\"digest\""),
                ended(1, "one", "r1", "not_run"),
                ended(2, "one", "r2", "caller_left"),
                ended(3, "one", "r3", "completed")));
    assertTrue(report.text().contains("queue_full   not_run      digest  1\n"), report.text());
    assertTrue(report.text().contains("caller_left  caller_left          1\n"), report.text());
    assertEquals(2, report.json().path("failures").asInt());
  }

  /** Guards against the route of one process's request told for another process's. */
  @Test
  void routesBelongToOneProcess() throws IOException {
    FailureReport report =
        report(
            List.of(
                line(0, "one", "request_taken", ",\"request\":\"r1\",\"route\":\"digest\""),
                ended(1, "two", "r1", "not_run")));
    assertEquals("", report.failures().getFirst().route());
  }

  /** Guards against a plot that is as long as the log. */
  @Test
  void plotHasAtMostTwentyBars() throws IOException {
    List<String> lines = new ArrayList<>();
    IntStream.range(0, 900).forEach(second -> lines.add(ended(second, "one", "r", "not_run")));
    FailureReport report = report(lines);
    long bars = report.text().lines().filter(text -> text.contains("#")).count();
    assertTrue(bars > 10 && bars <= 20, report.text());
  }

  /** Guards against counts that look whole though processes dropped lines. */
  @Test
  void droppedLinesAreTold() throws IOException {
    FailureReport report =
        report(
            List.of(
                ended(1, "one", "r1", "not_run"),
                line(2, "one", "log_lines_dropped", ",\"count\":7")));
    assertTrue(report.text().contains("dropped by processes: 7"), report.text());
  }

  @Test
  void withoutFailuresSaysSo() throws IOException {
    assertEquals("no request failed\n", report(List.of(ended(1, "one", "r", "completed"))).text());
  }
}
