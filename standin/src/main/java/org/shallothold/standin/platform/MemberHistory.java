package org.shallothold.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.RequestException;

/** The latest membership lists with the times they were set. Not to be shared between threads. */
final class MemberHistory {

  private static final int MAX_LISTS = 1_000;
  private static final List<String> FIELDS =
      List.of("address", "server_id", "role", "state", "failure_domain");

  private record Dated(long nanos, ArrayNode members) {}

  private final Deque<Dated> lists = new ArrayDeque<>();

  /**
   * Sets the list.
   *
   * @param document holds the whole list as {@code members}
   * @throws RequestException with status 400 if a member lacks a field or has a wrong state
   */
  void set(ObjectNode document, long nowNanos) {
    if (!(document.path("members") instanceof ArrayNode members)) {
      throw RequestException.badRequest("members must be an array");
    }
    members.forEach(MemberHistory::check);
    lists.addLast(new Dated(nowNanos, members));
    if (lists.size() > MAX_LISTS) {
      lists.removeFirst();
    }
  }

  /** Returns the list that was in force at a time; empty if there was none. */
  ArrayNode at(long nanos) {
    for (Iterator<Dated> newestFirst = lists.descendingIterator(); newestFirst.hasNext(); ) {
      Dated list = newestFirst.next();
      if (list.nanos() - nanos <= 0) {
        return list.members();
      }
    }
    return Json.object().arrayNode();
  }

  private static void check(JsonNode member) {
    for (String field : FIELDS) {
      if (!member.path(field).isTextual()) {
        throw RequestException.badRequest("each member needs a text " + field + ": " + member);
      }
    }
    String state = member.path("state").asText();
    if (!state.equals("live") && !state.equals("leaving")) {
      throw RequestException.badRequest("a member's state must be live or leaving: " + state);
    }
  }
}
