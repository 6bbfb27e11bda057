package org.shallothold.command.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.jspecify.annotations.Nullable;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.UsageException;
import org.shallothold.command.config.Documents.Document;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.Patch;
import org.shallothold.runtime.platform.ConfigurationDiff;
import org.shallothold.runtime.platform.ConfigurationJson;

/** Prints a patch document that the current configuration would accept. */
public final class ConfigPatch implements Subcommand {

  /** Creates the subcommand. */
  public ConfigPatch() {}

  /** The versions that a patch is about; the base is null if it is not known. */
  private record Versions(@Nullable Configuration base, Configuration current) {

    static Versions read(CommandLine line, long base) {
      Configuration[] found = {base == 0 ? Configuration.EMPTY : null};
      Configuration current =
          Timeline.read(
                  line,
                  base,
                  step -> {
                    if (step.after().version().number() == base) {
                      found[0] = step.after();
                    }
                  })
              .current();
      return new Versions(found[0], current);
    }

    List<ConfigurationDiff.Change> changesSinceBase() {
      return base == null ? List.of() : ConfigurationDiff.between(base, current);
    }
  }

  @Override
  public String name() {
    return "config patch";
  }

  @Override
  public String usage() {
    return """
    config patch SOURCE --base N --author A --reason R [--set KIND.NAME.KEY=VALUE...]
          [--set-file FILE.json] [--remove KIND.NAME...]
      config patch SOURCE --rebase-on PATCH.json [--keep-mine]
          where SOURCE is --platform URL or --process HOST:PORT""";
  }

  @Override
  public String example() {
    return "config patch --platform http://10.0.0.9:8080 --base 17 --author ada --reason slower "
        + "--set classes.urgent.first_token_target_ms=800";
  }

  @Override
  public String purpose() {
    return "Prints a patch document, or one that lost a race moved onto the current version.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source()
        .addOption(CommandOptions.valued("base", "N", "version that the patch is written on"))
        .addOption(CommandOptions.valued("author", "A", "who writes it"))
        .addOption(CommandOptions.valued("reason", "R", "why, for the other pair"))
        .addOption(CommandOptions.valued("time", "T", "when, ISO 8601; now by default"))
        .addOption(CommandOptions.valued("set", "PATH=VALUE", "sets a key or, with {...}, an item"))
        .addOption(CommandOptions.valued("set-file", "FILE.json", "sets items by kind and name"))
        .addOption(CommandOptions.valued("remove", "KIND.NAME", "removes an item"))
        .addOption(CommandOptions.valued("rebase-on", "PATCH.json", "the patch that lost a race"))
        .addOption(CommandOptions.flag("keep-mine", "the patch prevails where both changed a key"));
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "");
    return line.hasOption("rebase-on") ? rebase(line) : create(line);
  }

  private static Result create(CommandLine line) {
    String author = CommandOptions.required(line, "author");
    String reason = CommandOptions.required(line, "reason");
    long base = number(CommandOptions.required(line, "base"));
    Versions versions = Versions.read(line, base);
    Configuration current = versions.current();
    if (base != current.version().number()) {
      List<String> notes = new ArrayList<>();
      notes.add("--base is " + base + "; the current version is " + current.version().number());
      notes.addAll(changeNotes("changed since version " + base, versions));
      return refused(notes);
    }
    PatchEditor editor = PatchEditor.on(current);
    if (line.hasOption("set-file")) {
      editor.assignAll(CommandOptions.readFile(line.getOptionValue("set-file")));
    }
    values(line, "set").forEach(editor::assign);
    values(line, "remove").forEach(editor::remove);
    return finish(editor, author, time(line), reason, current, List.of());
  }

  private static Result rebase(CommandLine line) {
    if (line.hasOption("set") || line.hasOption("set-file") || line.hasOption("remove")) {
      throw new UsageException("--rebase-on can't be combined with --set, --set-file or --remove");
    }
    Patch lost = lostPatch(line.getOptionValue("rebase-on"));
    Versions versions = Versions.read(line, lost.base());
    Configuration base = versions.base();
    if (base == null) {
      throw new UsageException("version " + lost.base() + ", the patch's base, is not known there");
    }
    Rebase rebase = Rebase.of(base, lost, versions.current(), line.hasOption("keep-mine"));
    List<String> notes =
        new ArrayList<>(changeNotes("the winner changed since version " + lost.base(), versions));
    if (!rebase.overlaps().isEmpty()) {
      notes.add("changed by both" + (line.hasOption("keep-mine") ? "; the patch prevails:" : ":"));
      rebase.overlaps().forEach(overlap -> notes.add("  " + overlap));
      if (!line.hasOption("keep-mine")) {
        notes.add("decide with --keep-mine, or write a new patch with --base");
        return refused(notes);
      }
    }
    return finish(
        rebase.editor(),
        line.getOptionValue("author", lost.author()),
        time(line),
        line.getOptionValue("reason", lost.reason()),
        versions.current(),
        notes);
  }

  private static Patch lostPatch(String file) {
    return switch (Documents.read(file)) {
      case Document.PatchDocument(Patch patch) -> patch;
      case Document.SnapshotDocument snapshot ->
          throw new UsageException(file + " is a snapshot; a patch is needed");
      case Document.Unusable(List<String> problems) ->
          throw new UsageException(file + ": " + String.join("; ", problems));
    };
  }

  private static Result finish(
      PatchEditor editor,
      String author,
      String time,
      String reason,
      Configuration current,
      List<String> notes) {
    List<String> problems = new ArrayList<>();
    try {
      Patch patch = editor.patch(author, time, reason);
      problems.addAll(ConfigurationHistory.problems(current, patch));
      if (ConfigurationHistory.merge(current, patch).equals(current)) {
        problems.add("the patch changes nothing");
      }
      if (problems.isEmpty()) {
        return new Result(
            Result.SUCCESS, Documents.patchText(patch), Documents.patch(patch), notes);
      }
    } catch (ConfigurationJson.FormatException e) {
      problems.addAll(e.problems());
    }
    List<String> all = new ArrayList<>(notes);
    all.addAll(problems);
    return refused(all);
  }

  private static Result refused(List<String> notes) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    ArrayNode problems = json.putArray("problems");
    notes.forEach(problems::add);
    return new Result(Result.NEGATIVE, "", json, notes);
  }

  private static List<String> changeNotes(String heading, Versions versions) {
    List<String> notes = new ArrayList<>();
    List<ConfigurationDiff.Change> changes = versions.changesSinceBase();
    if (!changes.isEmpty()) {
      notes.add(heading + ":");
      changes.forEach(change -> notes.add("  " + change));
    }
    return notes;
  }

  private static List<String> values(CommandLine line, String option) {
    String[] values = line.getOptionValues(option);
    return values == null ? List.of() : List.of(values);
  }

  private static String time(CommandLine line) {
    return line.getOptionValue("time", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString());
  }

  private static long number(String text) {
    if (!text.matches("[0-9]{1,18}")) {
      throw new UsageException("--base is " + text + "; a version number is needed");
    }
    return Long.parseLong(text);
  }
}
