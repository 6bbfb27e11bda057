package org.shallothold.command.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.List;
import org.shallothold.command.UsageException;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Patch;
import org.shallothold.runtime.platform.ConfigurationJson;
import org.shallothold.runtime.platform.EntryCodec;

/** Builds a patch on a configuration step by step. Used by one thread. */
final class PatchEditor {

  /** Kinds of items in a configuration. */
  static final List<String> KINDS = List.of("classes", "customers", "servers", "services");

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final long base;
  private final ObjectNode current;
  private final ObjectNode set = JsonNodeFactory.instance.objectNode();
  private final ObjectNode remove = JsonNodeFactory.instance.objectNode();

  private PatchEditor(long base, ObjectNode current) {
    this.base = base;
    this.current = current;
  }

  /** Returns an editor of an empty patch on a configuration. */
  static PatchEditor on(Configuration configuration) {
    return new PatchEditor(
        configuration.version().number(), ConfigurationJson.write(configuration));
  }

  /**
   * Takes an assignment: {@code classes.urgent.tier=0} sets one key, {@code classes.urgent={...}} a
   * whole item. A value that is no JSON is a text.
   *
   * @throws UsageException if the assignment names no item
   */
  void assign(String assignment) {
    int equals = assignment.indexOf('=');
    if (equals < 0) {
      throw new UsageException("--set is " + assignment + "; KIND.NAME.KEY=VALUE is needed");
    }
    String path = assignment.substring(0, equals);
    JsonNode value = value(assignment.substring(equals + 1));
    String kind = kind(path);
    String rest = path.substring(kind.length() + 1);
    if (value.isObject()) {
      setItem(kind, rest, value);
      return;
    }
    int dot = rest.lastIndexOf('.');
    if (dot <= 0 || dot == rest.length() - 1) {
      throw new UsageException("--set is " + assignment + "; KIND.NAME.KEY=VALUE is needed");
    }
    String name = rest.substring(0, dot);
    JsonNode known =
        set.path(kind).has(name) ? set.path(kind).get(name) : current.path(kind).get(name);
    ObjectNode item =
        known instanceof ObjectNode object ? object.deepCopy() : MAPPER.createObjectNode();
    item.set(rest.substring(dot + 1), value);
    setItem(kind, name, item);
  }

  /**
   * Takes a document of items by kind and name, each set whole.
   *
   * @throws UsageException if it is no JSON object of known kinds
   */
  void assignAll(byte[] document) {
    try {
      JsonNode node = EntryCodec.json(document);
      if (!node.isObject()) {
        throw new UsageException("--set-file holds no JSON object");
      }
      node.properties()
          .forEach(
              kind -> {
                kind(kind.getKey() + ".x");
                kind.getValue()
                    .properties()
                    .forEach(item -> setItem(kind.getKey(), item.getKey(), item.getValue()));
              });
    } catch (IOException e) {
      throw new UsageException("--set-file is not JSON: " + e.getMessage());
    }
  }

  /** Sets a whole item. */
  void setItem(String kind, String name, JsonNode item) {
    set.withObjectProperty(kind).set(name, item);
  }

  /**
   * Removes an item named as {@code servers.engine-3}.
   *
   * @throws UsageException if the path names no item
   */
  void remove(String path) {
    String kind = kind(path);
    remove.withArrayProperty(kind).add(path.substring(kind.length() + 1));
  }

  /**
   * Returns the patch.
   *
   * @throws ConfigurationJson.FormatException with all problems if items lack keys or have wrong
   *     ones
   */
  Patch patch(String author, String time, String reason) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.put("base", base);
    document.put("author", author);
    document.put("time", time);
    document.put("reason", reason);
    document.set("set", set);
    document.set("remove", remove);
    return ConfigurationJson.readPatch(document);
  }

  private static String kind(String path) {
    return KINDS.stream()
        .filter(kind -> path.startsWith(kind + ".") && path.length() > kind.length() + 1)
        .findFirst()
        .orElseThrow(
            () ->
                new UsageException(
                    path + " names no item; a path starts with one of " + KINDS + " and a name"));
  }

  private static JsonNode value(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      return node.isMissingNode() ? TextNode.valueOf(text) : node;
    } catch (JsonProcessingException e) {
      return TextNode.valueOf(text);
    }
  }
}
