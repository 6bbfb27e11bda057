package org.shallothold.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.shallothold.standin.http.Json;

/**
 * The published entries in order, with the faults that change what readers see. Not to be shared
 * between threads.
 */
final class EntryList {

  /** Responses stay under 1 MB; this leaves room for the JSON around the entries. */
  static final int MAX_PAGE_BYTES = 990_000;

  /** Largest body whose base64 form, a third longer, still fits into one response. */
  static final int MAX_BODY_BYTES = 740_000;

  /** Upper bound of the bytes of an entry's JSON besides its body. */
  private static final int ENTRY_OVERHEAD_BYTES = 80;

  private static final long NO_LIMIT = Long.MAX_VALUE;

  private record Entry(String kind, String encodedBody) {}

  private List<Entry> entries = new ArrayList<>();
  private List<Entry> beforeRollback = List.of();
  private boolean rolledBack;
  private long visibleUpTo = NO_LIMIT;

  /** Adds an entry and returns its position. */
  long append(String kind, byte[] body) {
    entries.add(new Entry(kind, Base64.getEncoder().encodeToString(body)));
    return entries.size();
  }

  /** Returns the number of published entries, whether readers see them or not. */
  long size() {
    return entries.size();
  }

  /** Returns the visible entries after a position, as many as fit into one response. */
  ArrayNode page(long after) {
    ArrayNode page = Json.object().arrayNode();
    long bytes = 0;
    for (long index = after; index < visibleSize(); index++) {
      Entry entry = entries.get((int) index);
      bytes += entry.encodedBody().length() + ENTRY_OVERHEAD_BYTES;
      if (bytes > MAX_PAGE_BYTES) {
        break;
      }
      page.add(toJson(index));
    }
    return page;
  }

  /** Returns the newest visible snapshot. */
  Optional<ObjectNode> newestSnapshot() {
    for (long index = visibleSize() - 1; index >= 0; index--) {
      if (entries.get((int) index).kind().equals("snapshot")) {
        return Optional.of(toJson(index));
      }
    }
    return Optional.empty();
  }

  /** Hides the entries after a position from readers. */
  void staleAt(long position) {
    visibleUpTo = position;
  }

  /** Lets readers see all entries. */
  void clearStale() {
    visibleUpTo = NO_LIMIT;
  }

  /** Drops the entries after a position, so that later ones reuse their positions. */
  void rollBackTo(long position) {
    if (!rolledBack) {
      beforeRollback = entries;
      rolledBack = true;
    }
    entries = new ArrayList<>(entries.subList(0, (int) Math.min(position, entries.size())));
  }

  /** Brings back the entries as they were before the rollback, without those added since. */
  void clearRollback() {
    if (rolledBack) {
      entries = beforeRollback;
      beforeRollback = List.of();
      rolledBack = false;
    }
  }

  private long visibleSize() {
    return Math.min(entries.size(), visibleUpTo);
  }

  private ObjectNode toJson(long index) {
    Entry entry = entries.get((int) index);
    return Json.object()
        .put("position", index + 1)
        .put("kind", entry.kind())
        .put("body", entry.encodedBody());
  }
}
