package org.shallothold.command.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.Patch;
import org.shallothold.runtime.platform.ConfigurationJson;

/**
 * Moves the changes of a patch that lost a race onto the version that won. Only the keys that the
 * patch changed are carried over, so that the winner's other changes to the same item stay. Used by
 * one thread.
 */
final class Rebase {

  private final PatchEditor editor;
  private final boolean keepMine;
  private final List<String> overlaps = new ArrayList<>();

  private Rebase(PatchEditor editor, boolean keepMine) {
    this.editor = editor;
    this.keepMine = keepMine;
  }

  /**
   * Returns the rebased changes.
   *
   * @param base version that the patch was written on
   * @param patch the patch that lost
   * @param current version to move it to
   * @param keepMine whether the patch prevails where both changed the same key
   */
  static Rebase of(Configuration base, Patch patch, Configuration current, boolean keepMine) {
    Rebase rebase = new Rebase(PatchEditor.on(current), keepMine);
    JsonNode before = ConfigurationJson.write(base);
    JsonNode mine = ConfigurationJson.write(ConfigurationHistory.merge(base, patch));
    JsonNode theirs = ConfigurationJson.write(current);
    for (String kind : PatchEditor.KINDS) {
      for (String name : names(before.path(kind), mine.path(kind))) {
        rebase.item(
            kind,
            name,
            before.path(kind).get(name),
            mine.path(kind).get(name),
            theirs.path(kind).get(name));
      }
    }
    return rebase;
  }

  /** Returns the editor that holds the rebased changes. */
  PatchEditor editor() {
    return editor;
  }

  /** Returns the paths that both changed, with both values. */
  List<String> overlaps() {
    return overlaps;
  }

  private void item(
      String kind,
      String name,
      @Nullable JsonNode before,
      @Nullable JsonNode mine,
      @Nullable JsonNode theirs) {
    String path = kind + "." + name;
    if (Objects.equals(before, mine) || Objects.equals(mine, theirs)) {
      return;
    }
    if (before != null && mine != null && theirs != null) {
      mergeKeys(kind, name, before, mine, (ObjectNode) theirs.deepCopy());
      return;
    }
    if (Objects.equals(before, theirs) || overlap(path, mine, theirs)) {
      if (mine == null) {
        editor.remove(path);
      } else {
        editor.setItem(kind, name, mine);
      }
    }
  }

  private void mergeKeys(
      String kind, String name, JsonNode before, JsonNode mine, ObjectNode result) {
    boolean changed = false;
    for (String key : names(before, mine)) {
      JsonNode wanted = mine.get(key);
      JsonNode theirs = result.get(key);
      if (Objects.equals(before.get(key), wanted) || Objects.equals(wanted, theirs)) {
        continue;
      }
      if (Objects.equals(before.get(key), theirs)
          || overlap(kind + "." + name + "." + key, wanted, theirs)) {
        result.set(key, wanted);
        changed = true;
      }
    }
    if (changed) {
      editor.setItem(kind, name, result);
    }
  }

  /** Notes an overlap; returns whether the patch prevails. */
  private boolean overlap(String path, @Nullable JsonNode mine, @Nullable JsonNode theirs) {
    overlaps.add(path + ": the patch " + describe(mine) + ", the winner " + describe(theirs));
    return keepMine;
  }

  private static String describe(@Nullable JsonNode value) {
    return value == null ? "removed it" : "set " + value;
  }

  private static Set<String> names(JsonNode left, JsonNode right) {
    Set<String> names = new TreeSet<>();
    left.fieldNames().forEachRemaining(names::add);
    right.fieldNames().forEachRemaining(names::add);
    return names;
  }
}
