package org.shallothold.command.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.UsageException;
import org.shallothold.command.config.Documents.Document;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.runtime.platform.ConfigurationDiff;

/** Shows what differs between two versions. */
public final class ConfigDiff implements Subcommand {

  /** Creates the subcommand. */
  public ConfigDiff() {}

  @Override
  public String name() {
    return "config diff";
  }

  @Override
  public String usage() {
    return "config diff A B [--platform URL | --process HOST:PORT]";
  }

  @Override
  public String example() {
    return "config diff 17 18 --platform http://10.0.0.9:8080";
  }

  @Override
  public String purpose() {
    return "Shows what differs between two versions, each a number or a snapshot file.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source();
  }

  @Override
  public Result run(CommandLine line) {
    List<String> names = CommandOptions.arguments(line, 2, "A and B");
    Configuration before = configuration(names.getFirst(), line);
    Configuration after = configuration(names.getLast(), line);
    List<ConfigurationDiff.Change> changes = ConfigurationDiff.between(before, after);
    return Result.of(Result.SUCCESS, text(changes), json(changes));
  }

  /** Returns one line for each change, or one that says that there is none. */
  static String text(List<ConfigurationDiff.Change> changes) {
    StringBuilder text = new StringBuilder();
    changes.forEach(change -> text.append(change).append('\n'));
    return changes.isEmpty() ? "no differences\n" : text.toString();
  }

  /** Returns the changes; a side where the item or key is missing is left out. */
  static ArrayNode json(List<ConfigurationDiff.Change> changes) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    for (ConfigurationDiff.Change change : changes) {
      ObjectNode node = array.addObject().put("path", change.path());
      JsonNode before = change.before();
      JsonNode after = change.after();
      if (before != null) {
        node.set("before", before);
      }
      if (after != null) {
        node.set("after", after);
      }
    }
    return array;
  }

  private static Configuration configuration(String name, CommandLine line) {
    if (name.matches("[0-9]{1,18}")) {
      long number = Long.parseLong(name);
      return version(number, line)
          .orElseThrow(() -> new UsageException("version " + number + " is not known there"));
    }
    if (Documents.read(name) instanceof Document.SnapshotDocument(SnapshotContent snapshot)) {
      return snapshot.configuration();
    }
    throw new UsageException(name + " is neither a version number nor a snapshot file");
  }

  /** Returns a published version, or empty if the source doesn't know it or no longer. */
  static Optional<Configuration> version(long number, CommandLine line) {
    Configuration[] found = {number == 0 ? Configuration.EMPTY : null};
    Timeline.read(
        line,
        number,
        step -> {
          if (step.after().version().number() == number) {
            found[0] = step.after();
          }
        });
    return Optional.ofNullable(found[0]);
  }
}
