package org.shallothold.runtime.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.settings.TomlValues.Value;

/**
 * A TOML file read key by key. Each getter checks its value and notes a problem instead of failing,
 * so that {@link #finish} reports all problems at once, unknown keys among them. Used by one thread
 * at start.
 */
public final class SettingsDocument {

  private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
  private static final int MOST_PORT = 65_535;

  private final String file;
  private final Map<String, Value> values;
  private final Set<String> known = new LinkedHashSet<>();
  private final List<SettingsProblem> problems = new ArrayList<>();

  private SettingsDocument(String file, Map<String, Value> values) {
    this.file = file;
    this.values = values;
  }

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
    return new SettingsDocument(file, TomlValues.read(file, text));
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

  /**
   * Returns an address as {@code http://127.0.0.1:7100/}, always with a path that ends in a slash;
   * null and a problem if it is missing or no such address.
   */
  public @Nullable URI requiredHttpUrl(String key) {
    String allowed = "an address as http://127.0.0.1:7100/";
    Value value = take(key);
    if (value == null) {
      problems.add(new SettingsProblem(file, 0, key, "nothing", allowed));
      return null;
    }
    try {
      URI uri = new URI(String.valueOf(value.content()));
      if (("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
          && uri.getHost() != null
          && uri.getQuery() == null
          && uri.getFragment() == null) {
        return uri.getPath().endsWith("/") ? uri : URI.create(uri + "/");
      }
    } catch (URISyntaxException e) {
      // Reported below like any other text that is no address.
    }
    addProblem(key, value, allowed);
    return null;
  }

  /** Returns whether the file sets a key, rightly or wrongly. */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  /** Returns whether the file has a section, perhaps without keys. */
  public boolean hasSection(String section) {
    return values.keySet().stream()
        .anyMatch(key -> key.equals(section) || key.startsWith(section + "."));
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
    finish(key -> true);
  }

  /**
   * Ends the reading of a file of which only one section matters here.
   *
   * @throws SettingsException if anything was wrong, with all problems; unknown keys of other
   *     sections are none
   */
  public void finishSection(String section) {
    finish(key -> key.startsWith(section + "."));
  }

  private void finish(Predicate<String> matters) {
    values.forEach(
        (key, value) -> {
          if (matters.test(key) && !known.contains(key) && !isEmptyKnownSection(key, value)) {
            problems.add(
                new SettingsProblem(file, value.line(), key, "an unknown key", "only known keys"));
          }
        });
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(SettingsProblem::line));
      throw SettingsException.of(problems);
    }
  }

  /**
   * Returns the address that a text names, or null if it is not an IP address and port. A name is
   * never looked up.
   */
  public static @Nullable InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !PORT.matcher(text.substring(colon + 1)).matches()) {
      return null;
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (host == null || port > MOST_PORT) {
      return null;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(host), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("an IP address has 4 or 16 bytes", e);
    }
  }

  // A section whose keys are all left out or commented out.
  private boolean isEmptyKnownSection(String key, Value value) {
    return value.content() instanceof ObjectNode
        && known.stream().anyMatch(knownKey -> knownKey.startsWith(key + "."));
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
    return Arrays.stream(type.getEnumConstants())
        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
        .collect(Collectors.joining(", "));
  }
}
