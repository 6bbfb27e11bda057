package org.shallothold.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Patch;

/** Compares two configurations key by key; stateless. */
public final class ConfigurationDiff {

  private ConfigurationDiff() {}

  /**
   * One difference.
   *
   * @param path path of an item, as {@code servers.engine-3}, or of a key, as {@code
   *     classes.urgent.tier}
   * @param before JSON before, or null if the item or key was added
   * @param after JSON after, or null if the item or key was removed
   */
  public record Change(String path, @Nullable JsonNode before, @Nullable JsonNode after) {

    @Override
    public String toString() {
      if (before == null) {
        return path + ": added " + after;
      }
      return after == null ? path + ": removed" : path + ": " + before + " -> " + after;
    }
  }

  /** Returns all differences in the order of their paths; empty if there are none. */
  public static List<Change> between(Configuration before, Configuration after) {
    JsonNode left = ConfigurationJson.write(before);
    JsonNode right = ConfigurationJson.write(after);
    List<Change> changes = new ArrayList<>();
    for (String kind : names(left, right)) {
      JsonNode leftItems = left.path(kind);
      JsonNode rightItems = right.path(kind);
      for (String name : names(leftItems, rightItems)) {
        compareItem(kind + "." + name, leftItems.get(name), rightItems.get(name), changes);
      }
    }
    return changes;
  }

  /**
   * Returns the differences that a patch makes, without looking at the items that it doesn't name.
   */
  public static List<Change> of(Patch patch, Configuration before, Configuration after) {
    return between(named(before, patch), named(after, patch));
  }

  private static Configuration named(Configuration all, Patch patch) {
    return new Configuration(
        all.version(),
        named(all.classes(), patch.set().classes(), patch.remove().classes()),
        named(all.customers(), patch.set().customers(), patch.remove().customers()),
        named(all.servers(), patch.set().servers(), patch.remove().servers()),
        named(all.services(), patch.set().services(), patch.remove().services()));
  }

  private static <T> Map<String, T> named(
      Map<String, T> all, Map<String, T> set, List<String> remove) {
    Map<String, T> named = new HashMap<>();
    Stream.concat(set.keySet().stream(), remove.stream())
        .filter(all::containsKey)
        .forEach(name -> named.put(name, Objects.requireNonNull(all.get(name))));
    return named;
  }

  private static void compareItem(
      String path, @Nullable JsonNode left, @Nullable JsonNode right, List<Change> changes) {
    if (left == null || right == null) {
      changes.add(new Change(path, left, right));
      return;
    }
    for (String key : names(left, right)) {
      JsonNode before = left.get(key);
      JsonNode after = right.get(key);
      if (!Objects.equals(before, after)) {
        changes.add(new Change(path + "." + key, before, after));
      }
    }
  }

  private static Set<String> names(JsonNode left, JsonNode right) {
    Set<String> names = new TreeSet<>();
    left.fieldNames().forEachRemaining(names::add);
    right.fieldNames().forEachRemaining(names::add);
    return names;
  }
}
