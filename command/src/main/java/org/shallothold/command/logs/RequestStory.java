package org.shallothold.command.logs;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Says in sentences what happened to a request, and what its gateway believed. Stateless. */
public final class RequestStory {

  private static final Set<String> FOREIGN_BYTES = Set.of("additional_bytes", "foreign_response");

  // A hold is logged when it has ended, perhaps after the requests that it delayed.
  private static final Duration EVENT_LOOP_LINE_DELAY = Duration.ofSeconds(1);

  private RequestStory() {}

  /** Returns the sentences for a request with at least one line. */
  public static List<String> of(LogFiles logs, String requestId) {
    List<LogEntry> entries = logs.of(requestId);
    List<String> story = new ArrayList<>();
    entries.forEach(entry -> story.add(sentence(entry)));
    LogEntry last = entries.getLast();
    beliefs(logs, last).forEach(story::add);
    knownLimit(logs, entries, "server_rate_stated", "knew the rate of %s").ifPresent(story::add);
    knownLimit(logs, entries, "server_cold", "knew that %s is cold").ifPresent(story::add);
    blockedPart(logs, entries).ifPresent(story::add);
    foreignBytes(logs, requestId).forEach(story::add);
    heldEventLoop(logs, entries).forEach(story::add);
    deferredReads(logs, requestId).forEach(story::add);
    story.add("cause: " + cause(entries));
    return List.copyOf(story);
  }

  private static String sentence(LogEntry entry) {
    String ageMillis = entry.text("age_millis");
    String place =
        entry.time()
            + " "
            + entry.process()
            + (ageMillis.isEmpty() ? ": " : " +" + ageMillis + " ms: ");
    return place
        + switch (entry.event()) {
          case "request_taken" ->
              "taken on route %s (%s) for customer '%s' under configuration %s, due in %s ms"
                  .formatted(
                      entry.text("route"),
                      entry.text("kind"),
                      entry.text("customer"),
                      entry.text("configuration"),
                      entry.text("deadline_millis"));
          case "server_chosen" ->
              "run %s sent to %s of %s; expected %s ms, %s ms to read before it, %s open there"
                  .formatted(
                      entry.text("run"),
                      entry.text("server"),
                      entry.text("service"),
                      entry.text("expected_millis"),
                      entry.text("backlog_millis"),
                      entry.text("open_requests"));
          case "answer_failed" ->
              "the answer of %s failed: %s; last event passed on: %s"
                  .formatted(entry.text("server"), entry.text("reason"), entry.text("last_event"));
          case "server_over_rate" -> heldReason(entry);
          case "prompt_part_blocked" ->
              "part %s of its prompt is blocked, last because %s ended %s ms before"
                  .formatted(
                      entry.text("part"),
                      entry.text("ended_servers"),
                      entry.text("last_end_age_millis"));
          case "foreign_response" ->
              "%s sent bytes of another response (%s), which name request '%s'"
                      .formatted(
                          entry.text("server"), entry.text("place"), entry.text("named_request"))
                  + connection(entry);
          case "server_unreachable" -> "the server could not be reached: " + entry.text("reason");
          case "repeat_denied" -> "the shared budget allowed no repeat to " + entry.text("service");
          case "caller_left" -> "the caller closed its connection";
          case "request_refused" ->
              "answered %s, %s (%s) after %s runs and %s rejections"
                  .formatted(
                      entry.text("status"),
                      entry.text("verdict"),
                      entry.text("cause"),
                      entry.text("runs"),
                      entry.text("rejections"));
          case "request_ended" -> "ended: " + entry.text("outcome") + " " + entry.text("cause");
          default -> entry.event() + " " + entry.fields();
        };
  }

  /** Says why there was no permit for a server. */
  private static String heldReason(LogEntry entry) {
    if (!entry.text("cold_millis").isEmpty()) {
      return "no permit for %s, which is cold for another %s ms and gets %s requests a second"
          .formatted(entry.text("server"), entry.text("cold_millis"), entry.text("cold_rate"));
    }
    if (!entry.text("ramp_up_window").isEmpty()) {
      return "no permit for %s, which started or recovered %s ms before; its window is %s requests"
          .formatted(
              entry.text("server"), entry.text("ramp_up_age_millis"), entry.text("ramp_up_window"));
    }
    return "no permit for %s, which states %s requests a second for all gateways"
        .formatted(entry.text("server"), entry.text("stated_rate"));
  }

  private static List<String> beliefs(LogFiles logs, LogEntry last) {
    List<String> beliefs = new ArrayList<>();
    Instant time = last.time();
    logs.lastBefore(last.process(), List.of("configuration_in_force"), time)
        .ifPresent(
            entry ->
                beliefs.add(
                    "%s held configuration %s from %s, in force for %d ms"
                        .formatted(
                            last.process(),
                            entry.text("version"),
                            entry.text("source"),
                            age(entry, time))));
    Optional<LogEntry> contact =
        logs.lastBefore(
            last.process(), List.of("platform_contact_lost", "platform_contact_regained"), time);
    contact
        .filter(entry -> entry.event().equals("platform_contact_lost"))
        .ifPresent(
            entry ->
                beliefs.add(
                    "%s had been out of contact with the platform for %d ms (%s: %s)"
                        .formatted(
                            last.process(),
                            age(entry, time),
                            entry.text("topic"),
                            entry.text("reason"))));
    restore(logs, last).ifPresent(beliefs::add);
    return beliefs;
  }

  /** Returns what the process last took over from a platform that came back from an older copy. */
  private static Optional<String> restore(LogFiles logs, LogEntry last) {
    return logs.lastBefore(last.process(), List.of("platform_restored"), last.time())
        .map(
            entry ->
                "%s had read era %s of the platform after era %s (%s) for %d ms; %s items missing, %s outdated"
                    .formatted(
                        last.process(),
                        entry.text("era"),
                        entry.text("former_era"),
                        entry.text("topic"),
                        age(entry, last.time()),
                        entry.text("missing"),
                        entry.text("outdated")));
  }

  /** Returns since when, and from whom, the process knew what held the request. */
  private static Optional<String> knownLimit(
      LogFiles logs, List<LogEntry> entries, String event, String knowledge) {
    return entries.stream()
        .filter(entry -> entry.event().equals("server_over_rate"))
        .findFirst()
        .flatMap(
            held ->
                logs.lastBefore(
                        held.process(),
                        List.of(event),
                        held.time(),
                        entry -> entry.text("server").equals(held.text("server")))
                    .map(
                        entry ->
                            "%s %s from %s for %d ms"
                                .formatted(
                                    held.process(),
                                    knowledge.formatted(held.text("server")),
                                    entry.text("source"),
                                    age(entry, held.time()))));
  }

  /** Returns since when, and from whom, the process knew that the request's part is blocked. */
  private static Optional<String> blockedPart(LogFiles logs, List<LogEntry> entries) {
    return entries.stream()
        .filter(entry -> entry.event().equals("prompt_part_blocked"))
        .findFirst()
        .flatMap(
            blocked ->
                logs.lastBefore(
                        blocked.process(),
                        List.of("prompt_part_standing"),
                        blocked.time(),
                        entry -> entry.text("part").equals(blocked.text("part")))
                    .map(
                        entry ->
                            "%s regarded part %s as %s for %d ms, by evidence from %s"
                                .formatted(
                                    blocked.process(),
                                    blocked.text("part"),
                                    entry.text("standing"),
                                    age(entry, blocked.time()),
                                    entry.text("source"))));
  }

  /** Tells of bytes that came on connections which had carried the request before. */
  private static List<String> foreignBytes(LogFiles logs, String requestId) {
    return logs.entries().stream()
        .filter(entry -> FOREIGN_BYTES.contains(entry.event()))
        .filter(
            entry ->
                entry.text("named_request").equals(requestId)
                    || entry.text("last_request").equals(requestId))
        .map(
            entry ->
                "%s %s: %s sent bytes (%s) that name it or came after its response, near request '%s'"
                        .formatted(
                            entry.time(),
                            entry.process(),
                            entry.text("server"),
                            entry.text("place"),
                            entry.text("request"))
                    + connection(entry))
        .toList();
  }

  /** Tells what held the process's event loop while the request was open. */
  private static List<String> heldEventLoop(LogFiles logs, List<LogEntry> entries) {
    LogEntry last = entries.getLast();
    Instant end = last.time().plus(EVENT_LOOP_LINE_DELAY);
    return logs.entries().stream()
        .filter(entry -> entry.event().equals("event_loop_held"))
        .filter(entry -> entry.process().equals(last.process()))
        .filter(entry -> entry.time().isAfter(arrival(entries)) && entry.time().isBefore(end))
        .map(
            entry ->
                "%s %s: its event loop was held for %s ms, of which the %s %s (request '%s') took %s ms for %s bytes"
                    .formatted(
                        entry.time(),
                        entry.process(),
                        entry.text("delay_millis"),
                        entry.text("busiest"),
                        entry.text("busiest_name"),
                        entry.text("busiest_request"),
                        entry.text("busiest_millis"),
                        entry.text("busiest_bytes")))
        .toList();
  }

  /** Tells how much work the bytes of the request's connection made. */
  private static List<String> deferredReads(LogFiles logs, String requestId) {
    return logs.entries().stream()
        .filter(entry -> entry.event().equals("reads_deferred"))
        .filter(entry -> entry.text("busiest_request").equals(requestId))
        .map(
            entry ->
                "%s %s: bytes of its %s %s took turns with others, since they made much work: last %s ms for %s bytes"
                    .formatted(
                        entry.time(),
                        entry.process(),
                        entry.text("busiest"),
                        entry.text("busiest_name"),
                        entry.text("busiest_millis"),
                        entry.text("busiest_bytes")))
        .toList();
  }

  private static Instant arrival(List<LogEntry> entries) {
    LogEntry first = entries.getFirst();
    String ageMillis = first.text("age_millis");
    return ageMillis.isEmpty() ? first.time() : first.time().minusMillis(Long.parseLong(ageMillis));
  }

  private static String connection(LogEntry entry) {
    return "; connection open for %s ms, last response %s ms before"
        .formatted(entry.text("connection_age_millis"), entry.text("since_last_response_millis"));
  }

  private static long age(LogEntry entry, Instant time) {
    return Duration.between(entry.time(), time).toMillis();
  }

  private static String cause(List<LogEntry> entries) {
    LogEntry last = entries.getLast();
    String code = last.text("cause");
    String detail =
        entries.stream()
            .filter(entry -> entry.event().equals("answer_failed"))
            .reduce((former, latter) -> latter)
            .map(entry -> " (" + entry.text("server") + ": " + entry.text("reason") + ")")
            .orElse("");
    if (last.text("outcome").equals("completed")) {
      return "none, the answer was delivered whole";
    }
    return switch (code) {
      case "deadline" -> "no whole answer within the time allowed" + detail;
      case "cannot_finish" ->
          "its answer was too long for the time left, even on an engine without prompts to read";
      case "queue_full" -> "the engines had too much to read for it to be on time";
      case "no_server" -> "no backend server took it";
      case "server_rate_limit" ->
          "every server that could take it gets as many requests as it states";
      case "prompt_part_blocked" ->
          "a part of its prompt ended backend servers, so requests with it are refused for a time";
      case "backend_failed" -> "the backend server failed" + detail;
      case "not_configured" -> "the gateway had no configuration yet";
      case "not_found" -> "no route of the configuration in force matches it";
      case "unauthenticated" -> "its key belongs to no customer of the configuration in force";
      case "" -> last.text("outcome").equals("caller_left") ? "the caller left" : "unknown";
      default -> code.startsWith("status_") ? "the server answered " + code.substring(7) : code;
    };
  }
}
