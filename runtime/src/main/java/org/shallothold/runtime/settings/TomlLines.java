package org.shallothold.runtime.settings;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Finds the lines of the keys of a TOML text, since the parser keeps no locations; stateless. A
 * text of several lines may hold what looks like a key, which can only add lines of keys that don't
 * exist.
 */
final class TomlLines {

  private static final Pattern SECTION = Pattern.compile("^\\s*\\[{1,2}([^\\[\\]#]+)]{1,2}.*$");
  private static final Pattern ASSIGNMENT = Pattern.compile("^\\s*([^=#\\[]+?)\\s*=.*$");

  private TomlLines() {}

  /** Returns the first line of each key and section by its path. */
  static Map<String, Integer> of(String text) {
    Map<String, Integer> lines = new HashMap<>();
    List<String> all = text.lines().toList();
    String section = "";
    for (int index = 0; index < all.size(); index++) {
      Matcher header = SECTION.matcher(all.get(index));
      Matcher assignment = ASSIGNMENT.matcher(all.get(index));
      if (header.matches()) {
        section = path(header.group(1));
        lines.putIfAbsent(section, index + 1);
        section += ".";
      } else if (assignment.matches()) {
        lines.putIfAbsent(section + path(assignment.group(1)), index + 1);
      }
    }
    return lines;
  }

  /** Returns a name as a part of a path: in quotes if it holds a dot. */
  static String quoted(String name) {
    return name.contains(".") ? '"' + name + '"' : name;
  }

  private static String path(String written) {
    return Arrays.stream(written.split("\\.(?=(?:[^\"]*\"[^\"]*\")*[^\"]*$)", -1))
        .map(part -> part.strip().replaceAll("^[\"']|[\"']$", ""))
        .map(TomlLines::quoted)
        .collect(Collectors.joining("."));
  }
}
