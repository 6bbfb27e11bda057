package org.shallothold.runtime.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads a TOML text into values by key path, as {@code listen.address}; stateless. */
final class TomlValues {

  private static final ObjectMapper MAPPER = new TomlMapper();

  private TomlValues() {}

  /**
   * A value of the file.
   *
   * @param content a String, Long, Boolean, or the JSON node of anything else, such as an array or
   *     a section without keys
   * @param line line of its key, from 1; 0 if it can't be told
   */
  record Value(Object content, int line) {}

  /**
   * Returns all values in the order of the file.
   *
   * @throws SettingsException if the text is not TOML
   */
  static Map<String, Value> read(String file, String text) {
    Map<String, Value> values = new LinkedHashMap<>();
    try {
      flatten("", MAPPER.readTree(text), TomlLines.of(text), values);
    } catch (JsonProcessingException e) {
      throw SettingsException.of(
          List.of(
              new SettingsProblem(
                  file, line(e.getLocation()), "(syntax)", e.getOriginalMessage(), "valid TOML")));
    }
    return values;
  }

  // The parser finds a doubled key only after the end of its line.
  private static int line(@Nullable JsonLocation location) {
    if (location == null || location.getLineNr() < 1) {
      return 0;
    }
    boolean afterLineEnd = location.getColumnNr() == 1 && location.getLineNr() > 1;
    return afterLineEnd ? location.getLineNr() - 1 : location.getLineNr();
  }

  private static void flatten(
      String prefix, JsonNode node, Map<String, Integer> lines, Map<String, Value> values) {
    node.properties()
        .forEach(
            entry -> {
              String key = prefix + TomlLines.quoted(entry.getKey());
              JsonNode child = entry.getValue();
              if (child.isObject() && !child.isEmpty()) {
                flatten(key + ".", child, lines, values);
              } else {
                values.put(key, new Value(content(child), lines.getOrDefault(key, 0)));
              }
            });
  }

  private static Object content(JsonNode node) {
    if (node.isTextual()) {
      return node.textValue();
    }
    if (node.isIntegralNumber() && node.canConvertToLong()) {
      return node.longValue();
    }
    return node.isBoolean() ? node.booleanValue() : node;
  }
}
