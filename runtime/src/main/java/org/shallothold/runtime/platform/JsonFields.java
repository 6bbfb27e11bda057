package org.shallothold.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The fields of one JSON object, read one by one. A field that is wrong adds a problem to a list
 * shared by the whole document and gives a default, so that reading goes on to the next problem.
 * Used by one thread while a document is read.
 */
final class JsonFields {

  private final JsonNode node;
  private final String path;
  private final List<String> problems;

  private JsonFields(JsonNode node, String path, List<String> problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /** Returns the fields of a node; a problem is added if it is no object or has unknown keys. */
  static JsonFields of(JsonNode node, String path, List<String> problems, String... keys) {
    if (!node.isObject()) {
      problems.add(path + " must be an object");
    }
    Set<String> allowed = new TreeSet<>(List.of(keys));
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!allowed.contains(key)) {
                problems.add(path + "." + key + " is an unknown key; allowed are " + allowed);
              }
            });
    return new JsonFields(node, path, problems);
  }

  /** Returns the path of a key. */
  String path(String key) {
    return path + "." + key;
  }

  /** Adds a problem of a key. */
  void problem(String key, String text) {
    problems.add(path(key) + " " + text);
  }

  /** Returns the fields of an object, all absent if the key is missing. */
  JsonFields optionalObject(String key, String... keys) {
    JsonNode child = node.path(key);
    return child.isMissingNode()
        ? new JsonFields(child, path(key), problems)
        : of(child, key, problems, keys);
  }

  /** Returns the items of an object by name; empty if the key is missing. */
  <T> Map<String, T> items(String key, Function<Map.Entry<String, JsonNode>, T> reader) {
    JsonNode child = node.path(key);
    if (!child.isMissingNode() && !child.isObject()) {
      problem(key, "must be an object");
    }
    Map<String, T> items = new LinkedHashMap<>();
    child.properties().forEach(entry -> items.put(entry.getKey(), reader.apply(entry)));
    return items;
  }

  /** Returns the items of an array of objects; empty if the key is missing. */
  <T> List<T> objects(String key, Function<JsonNode, T> reader) {
    JsonNode child = node.path(key);
    if (!child.isMissingNode() && !child.isArray()) {
      problem(key, "must be an array of objects");
      return List.of();
    }
    List<T> items = new ArrayList<>();
    child.forEach(item -> items.add(reader.apply(item)));
    return items;
  }

  /** Returns a text that must not be missing or empty. */
  String text(String key) {
    JsonNode value = node.path(key);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      problem(key, "must be a text that is not empty");
    }
    return value.asText("");
  }

  /** Returns a text; empty if the key is missing. */
  String optionalText(String key) {
    JsonNode value = node.path(key);
    if (!value.isMissingNode() && !value.isTextual()) {
      problem(key, "must be a text");
    }
    return value.asText("");
  }

  /** Returns a whole number from a least value to a largest one. */
  long whole(String key, long least, long most) {
    JsonNode value = node.path(key);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.longValue() < least
        || value.longValue() > most) {
      String found = value.isMissingNode() ? "missing" : value.toString();
      problem(key, "is " + found + "; must be a whole number from " + least + " to " + most);
      return least;
    }
    return value.longValue();
  }

  /** Returns a number. */
  double number(String key) {
    JsonNode value = node.path(key);
    if (!value.isNumber()) {
      problem(key, "must be a number");
    }
    return value.asDouble();
  }

  /** Returns a switch; false if the key is missing. */
  boolean flag(String key) {
    JsonNode value = node.path(key);
    if (!value.isMissingNode() && !value.isBoolean()) {
      problem(key, "must be true or false");
    }
    return value.isBoolean() && value.booleanValue();
  }

  /** Returns texts; empty if the key is missing. */
  List<String> texts(String key) {
    JsonNode value = node.path(key);
    if (value.isMissingNode()) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    value.forEach(item -> texts.add(item.asText()));
    boolean allTexts = value.isArray();
    for (JsonNode item : value) {
      allTexts &= item.isTextual() && !item.textValue().isEmpty();
    }
    if (!allTexts) {
      problem(key, "must be an array of texts that are not empty");
    }
    return texts;
  }
}
