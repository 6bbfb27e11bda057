package org.shallothold.command.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.config.Documents.Document;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.gateway.GatewaySettings;
import org.shallothold.runtime.platform.EntryCodec;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;
import org.shallothold.runtime.settings.SettingsFormat;
import org.shallothold.runtime.settings.SettingsProblem;
import org.shallothold.sidecar.settings.SidecarSettings;

/** Checks a patch, a snapshot or a settings file and names all problems. */
public final class ConfigCheck implements Subcommand {

  /** Creates the subcommand. */
  public ConfigCheck() {}

  @Override
  public String name() {
    return "config check";
  }

  @Override
  public String usage() {
    return "config check FILE [--platform URL | --process HOST:PORT]";
  }

  @Override
  public String example() {
    return "config check conf/gateway.toml";
  }

  @Override
  public String purpose() {
    return "Checks a patch or snapshot (JSON; with a source also against it) or settings (TOML, or a platform's .conf).";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source();
  }

  @Override
  public Result run(CommandLine line) {
    String file = CommandOptions.arguments(line, 1, "FILE").getFirst();
    if (file.endsWith(".toml")) {
      return result("settings", settingsProblems(file));
    }
    Optional<SettingsFormat> format = formatOf(Path.of(file));
    if (format.isPresent()) {
      return result(
          "settings",
          format.get().problems(Path.of(file)).stream().map(SettingsProblem::toString).toList());
    }
    boolean againstSource = line.hasOption("platform") || line.hasOption("process");
    return switch (Documents.read(file)) {
      case Document.PatchDocument(Patch patch) ->
          result("patch", prefixed(file, againstSource ? patchProblems(patch, line) : List.of()));
      case Document.SnapshotDocument(SnapshotContent snapshot) -> {
        List<String> problems = new ArrayList<>(startProblems(snapshot));
        problems.addAll(againstSource ? snapshotProblems(snapshot, line) : List.of());
        yield result("snapshot", prefixed(file, problems));
      }
      case Document.Unusable(List<String> problems) -> result("document", prefixed(file, problems));
    };
  }

  private static Optional<SettingsFormat> formatOf(Path file) {
    return ServiceLoader.load(SettingsFormat.class).stream()
        .map(ServiceLoader.Provider::get)
        .filter(format -> format.reads(file))
        .findFirst();
  }

  private static List<String> settingsProblems(String file) {
    try {
      SettingsDocument settings = SettingsDocument.read(Path.of(file));
      if (settings.has("process.server_id") || settings.hasSection("listen")) {
        SidecarSettings.from(settings);
      } else {
        GatewaySettings.read(settings);
      }
      settings.finish();
      return List.of();
    } catch (SettingsException e) {
      return e.problems().stream().map(SettingsProblem::toString).toList();
    }
  }

  private static List<String> patchProblems(Patch patch, CommandLine line) {
    Configuration current = Timeline.read(line, Long.MAX_VALUE, step -> {}).current();
    List<String> problems = new ArrayList<>();
    if (patch.base() != current.version().number()) {
      problems.add(
          "patch.base is "
              + patch.base()
              + "; the current version is "
              + current.version().number());
    }
    problems.addAll(ConfigurationHistory.problems(current, patch));
    return problems;
  }

  /** Returns what would keep a process from starting with a snapshot. */
  private static List<String> startProblems(SnapshotContent snapshot) {
    byte[] body = EntryCodec.snapshotBody(snapshot.configuration(), snapshot.position());
    PatchOutcome outcome =
        ConfigurationHistory.create()
            .apply(EntryCodec.decode(snapshot.position() + 1, EntryCodec.SNAPSHOT, body));
    return outcome instanceof PatchOutcome.Invalid(List<String> problems) ? problems : List.of();
  }

  private static List<String> snapshotProblems(SnapshotContent snapshot, CommandLine line) {
    ConfigurationVersion version = snapshot.configuration().version();
    TreeMap<Long, Configuration> found = new TreeMap<>();
    Timeline.read(
        line,
        version.number(),
        step -> {
          if (step.after().version().number() == version.number()
              && step.entry().position() <= snapshot.position()) {
            found.put(step.entry().position(), step.after());
          }
        });
    if (found.isEmpty()) {
      return List.of("snapshot.version is " + version.number() + ", which is not published");
    }
    Configuration published = found.lastEntry().getValue();
    List<String> problems = new ArrayList<>();
    if (!published.version().equals(version)) {
      problems.add("snapshot.digest differs from that of the published version");
    }
    if (!published.withVersion(version).equals(snapshot.configuration())) {
      problems.add("snapshot.configuration differs from the published version");
    }
    return problems;
  }

  private static List<String> prefixed(String file, List<String> problems) {
    return problems.stream().map(problem -> file + ": " + problem).toList();
  }

  private static Result result(String kind, List<String> problems) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("kind", kind).put("valid", problems.isEmpty());
    ArrayNode list = json.putArray("problems");
    problems.forEach(list::add);
    String text = problems.isEmpty() ? "valid " + kind + "\n" : String.join("\n", problems) + "\n";
    return Result.of(problems.isEmpty() ? Result.SUCCESS : Result.NEGATIVE, text, json);
  }
}
