package org.shallothold.runtime.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A TOML file read key by key. Each getter checks its value and notes a problem instead of failing,
 * so that {@link #finish} reports all problems at once, unknown keys among them. Used by one thread
 * at start.
 */
public final class SettingsDocument {

  private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:]+");

  private final String file;
  private final Map<String, Value> values;
  private final Set<String> known = new LinkedHashSet<>();
  private final List<SettingsProblem> problems = new ArrayList<>();

  private SettingsDocument(String file, Map<String, Value> values) {
    this.file = file;
    this.values = values;
  }

  private record Value(Object content, int line) {}

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file can't be read or is not TOML
   */
  public static SettingsDocument read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw SettingsException.of(
          List.of(
              new SettingsProblem(
                  file.toString(), 0, "(file)", "no readable file", "a readable TOML file")));
    }
  }

  /**
   * Reads a text.
   *
   * @param file name for messages
   * @throws SettingsException if the text is not TOML
   */
  public static SettingsDocument parse(String file, String text) {
    Map<String, Value> values = new LinkedHashMap<>();
    try (JsonParser parser = new TomlFactory().createParser(text)) {
      flatten(parser, values, text);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 0 : location.getLineNr();
      throw SettingsException.of(
          List.of(
              new SettingsProblem(file, line, "(syntax)", e.getOriginalMessage(), "valid TOML")));
    } catch (IOException e) {
      throw new IllegalStateException("reading from a string failed", e);
    }
    return new SettingsDocument(file, values);
  }

  /** Returns a text; null and a problem if it is missing or no text. */
  public @Nullable String requiredText(String key) {
    Value value = take(key);
    if (value == null) {
      problems.add(new SettingsProblem(file, 0, key, "nothing", "a text"));
      return null;
    }
    return asText(key, value);
  }

  /** Returns a text, or the default if it is missing. */
  public String text(String key, String defaultValue) {
    Value value = take(key);
    String text = value == null ? null : asText(key, value);
    return text == null ? defaultValue : text;
  }

  /** Returns a text, or null without a problem if it is missing. */
  public @Nullable String optionalText(String key) {
    Value value = take(key);
    return value == null ? null : asText(key, value);
  }

  /** Returns a whole number within bounds, or the default if it is missing. */
  public long number(String key, long defaultValue, long least, long most) {
    Value value = take(key);
    if (value == null) {
      return defaultValue;
    }
    String allowed = "a whole number from " + least + " to " + most;
    if (value.content() instanceof Long number && number >= least && number <= most) {
      return number;
    }
    addProblem(key, value, allowed);
    return defaultValue;
  }

  /** Returns a switch, or the default if it is missing. */
  public boolean flag(String key, boolean defaultValue) {
    Value value = take(key);
    if (value == null) {
      return defaultValue;
    }
    if (value.content() instanceof Boolean flag) {
      return flag;
    }
    addProblem(key, value, "true or false");
    return defaultValue;
  }

  /** Returns a constant by its lower-case name, or the default if it is missing. */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    Value value = take(key);
    if (value == null) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (constant.name().toLowerCase(Locale.ROOT).equals(value.content())) {
        return constant;
      }
    }
    addProblem(key, value, names(type));
    return defaultValue;
  }

  /** Returns an IP address and port written {@code ADDRESS:PORT}; null and a problem otherwise. */
  public @Nullable InetSocketAddress requiredAddress(String key) {
    Value value = take(key);
    if (value == null) {
      problems.add(
          new SettingsProblem(
              file, 0, key, "nothing", "an IP address and port, as 127.0.0.1:7000"));
      return null;
    }
    InetSocketAddress address = value.content() instanceof String text ? address(text) : null;
    if (address == null) {
      addProblem(key, value, "an IP address and port, as 127.0.0.1:7000");
    }
    return address;
  }

  /** Returns whether the file sets a key, rightly or wrongly. */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  /** Returns whether the file sets any key of a section. */
  public boolean hasAny(String section) {
    return values.keySet().stream().anyMatch(key -> key.startsWith(section + "."));
  }

  /** Notes a problem that involves more than one key. */
  public void clash(String key, String found, String allowed) {
    Value value = values.get(key);
    problems.add(new SettingsProblem(file, value == null ? 0 : value.line(), key, found, allowed));
  }

  /**
   * Ends the reading.
   *
   * @throws SettingsException if anything was wrong, with all problems
   */
  public void finish() {
    values.forEach(
        (key, value) -> {
          if (!known.contains(key)) {
            problems.add(
                new SettingsProblem(file, value.line(), key, "an unknown key", "only known keys"));
          }
        });
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(SettingsProblem::line));
      throw SettingsException.of(problems);
    }
  }

  /** Returns the address that a text names, or null if it is not an IP address and port. */
  public static @Nullable InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return null;
    }
    String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
    if (!IP_ADDRESS.matcher(host).matches()) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      // A literal address is not looked up by name.
      return port < 0 || port > 65_535
          ? null
          : new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }

  private @Nullable Value take(String key) {
    known.add(key);
    return values.get(key);
  }

  private @Nullable String asText(String key, Value value) {
    if (value.content() instanceof String text && !text.isEmpty()) {
      return text;
    }
    addProblem(key, value, "a text that is not empty");
    return null;
  }

  private void addProblem(String key, Value value, String allowed) {
    problems.add(new SettingsProblem(file, value.line(), key, describe(value.content()), allowed));
  }

  private static String describe(Object content) {
    return content instanceof String text ? "'" + text + "'" : String.valueOf(content);
  }

  private static <E extends Enum<E>> String names(Class<E> type) {
    return java.util.Arrays.stream(type.getEnumConstants())
        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
        .collect(java.util.stream.Collectors.joining(", "));
  }

  private static void flatten(JsonParser parser, Map<String, Value> values, String text)
      throws IOException {
    Deque<String> path = new ArrayDeque<>();
    int arrayDepth = 0;
    for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
      switch (token) {
        case FIELD_NAME -> path.addLast(parser.currentName());
        case START_ARRAY -> arrayDepth++;
        case END_ARRAY -> {
          arrayDepth--;
          if (arrayDepth == 0) {
            path.pollLast();
          }
        }
        case END_OBJECT -> path.pollLast();
        case START_OBJECT -> {}
        default -> {
          String key = String.join(".", path);
          Object content = content(parser, token);
          values.put(key, new Value(content, lineOf(text, path.getLast(), content)));
          if (arrayDepth == 0) {
            path.removeLast();
          }
        }
      }
    }
  }

  private static Object content(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> parser.getText();
    };
  }

  // The TOML parser builds a tree first and keeps no locations, so the line is found in the text.
  private static int lineOf(String text, String name, Object content) {
    Pattern assignment = Pattern.compile("^\\s*(\\S+\\.)?" + Pattern.quote(name) + "\\s*=(.*)$");
    List<String> lines = text.lines().toList();
    int first = 0;
    for (int index = 0; index < lines.size(); index++) {
      var matcher = assignment.matcher(lines.get(index));
      if (matcher.matches()) {
        if (matcher.group(2).contains(String.valueOf(content))) {
          return index + 1;
        }
        first = first == 0 ? index + 1 : first;
      }
    }
    return first;
  }
}
