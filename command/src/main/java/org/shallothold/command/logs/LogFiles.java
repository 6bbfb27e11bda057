package org.shallothold.command.logs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothold.command.CommandOptions;

/**
 * Log lines of several processes, merged by time. A line may have a prefix of its collector before
 * the JSON object.
 *
 * @param entries all readable lines, by time
 * @param skipped lines that are no whole log line
 */
public record LogFiles(List<LogEntry> entries, int skipped) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads files. */
  public static LogFiles read(List<String> files) {
    List<LogEntry> entries = new ArrayList<>();
    int skipped = 0;
    for (String file : files) {
      String text = new String(CommandOptions.readFile(file), StandardCharsets.UTF_8);
      for (String line : text.lines().toList()) {
        Optional<LogEntry> entry = parse(line);
        entry.ifPresent(entries::add);
        skipped += entry.isEmpty() && line.contains("{") ? 1 : 0;
      }
    }
    entries.sort(Comparator.comparing(LogEntry::time));
    return new LogFiles(List.copyOf(entries), skipped);
  }

  private static Optional<LogEntry> parse(String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = MAPPER.readTree(line.substring(begin));
      return fields.path("event").isTextual()
          ? Optional.of(
              new LogEntry(
                  Instant.parse(fields.path("time").asText()),
                  fields.path("process").asText(),
                  fields.path("event").asText(),
                  fields))
          : Optional.empty();
    } catch (JsonProcessingException | DateTimeException e) {
      return Optional.empty();
    }
  }

  /** Returns the lines of a request. */
  public List<LogEntry> of(String requestId) {
    return entries.stream().filter(entry -> entry.isOf(requestId)).toList();
  }

  /**
   * Returns the last line of some events that a process wrote before a time. A process that started
   * again knows nothing of what it wrote before.
   */
  public Optional<LogEntry> lastBefore(String process, List<String> events, Instant time) {
    return lastBefore(process, events, time, entry -> true);
  }

  /** Returns the last line as above among those that match. */
  Optional<LogEntry> lastBefore(
      String process, List<String> events, Instant time, Predicate<LogEntry> matching) {
    return entries.stream()
        .filter(entry -> entry.process().equals(process))
        .filter(
            entry ->
                entry.event().equals("started")
                    || (events.contains(entry.event()) && matching.test(entry)))
        .filter(entry -> entry.time().isBefore(time))
        .reduce((former, latter) -> latter)
        .filter(entry -> events.contains(entry.event()));
  }

  /** Returns a note on skipped lines, or none. */
  public List<String> notes() {
    return skipped == 0
        ? List.of()
        : Arrays.asList("shallothold: " + skipped + " lines are cut or no log lines; skipped");
  }
}
