package org.shallothold.experiment.fleet;

import java.util.Map;
import java.util.TreeMap;

/** Reads the text format of /metrics; stateless. */
final class MetricsText {

  private MetricsText() {}

  /** Returns the value of each sample by its name with labels, as {@code name{label="x"}}. */
  static Map<String, Double> parse(String text) {
    Map<String, Double> values = new TreeMap<>();
    text.lines()
        .filter(line -> !line.isBlank() && !line.startsWith("#"))
        .forEach(
            line -> {
              int split = line.lastIndexOf(' ');
              try {
                values.put(line.substring(0, split), Double.valueOf(line.substring(split + 1)));
              } catch (NumberFormatException e) {
                // A sample with a time stamp or in another notation isn't one of ours.
              }
            });
    return values;
  }
}
