package org.shallothold.standin.service;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import org.shallothold.standin.http.Json;

/**
 * How many times each order was acted on, by its key. With a file the counts outlive the process,
 * so that a test can count the orders acted on before a crash. Not to be shared between threads.
 */
final class OrderCounts {

  private final Optional<Path> file;
  private final ObjectNode counts = Json.object();

  /**
   * Reads the counts.
   *
   * @param file holds one key per line in the order of acting; created when the first one is added
   * @throws UncheckedIOException if the file can't be read
   */
  OrderCounts(Optional<Path> file) {
    this.file = file;
    if (file.isPresent() && Files.exists(file.get())) {
      try {
        Files.readAllLines(file.get(), UTF_8).forEach(this::count);
      } catch (IOException e) {
        throw new UncheckedIOException("can't read " + file.get(), e);
      }
    }
  }

  /**
   * Counts an order and returns its new count.
   *
   * @throws UncheckedIOException if the file can't be written
   */
  int add(String key) {
    if (file.isPresent()) {
      try {
        Files.writeString(
            file.get(), key + "\n", UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      } catch (IOException e) {
        throw new UncheckedIOException("can't write " + file.get(), e);
      }
    }
    return count(key);
  }

  /** Returns the counts by key. */
  ObjectNode toJson() {
    return counts;
  }

  private int count(String key) {
    int count = counts.path(key).asInt() + 1;
    counts.put(key, count);
    return count;
  }
}
