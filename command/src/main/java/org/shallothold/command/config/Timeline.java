package org.shallothold.command.config;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.shallothold.command.UsageException;
import org.shallothold.command.process.OperatorConnection;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.runtime.http.SingleUseHttpClient;
import org.shallothold.runtime.platform.HttpConfigurationSource;
import org.shallothold.runtime.sync.WireEntries;
import org.shallothold.wire.proto.ConfigurationRequest;
import org.shallothold.wire.proto.Envelope;

/**
 * The published entries, folded as every process folds them. Used by one thread. Only the current
 * configuration is held, since all versions of a large fleet would not fit into memory.
 */
final class Timeline {

  /** What one entry did. */
  record Step(
      ConfigurationEntry entry, PatchOutcome outcome, Configuration before, Configuration after) {}

  private final ConfigurationHistory history = ConfigurationHistory.create();
  private final Consumer<Step> visitor;

  private Timeline(Consumer<Step> visitor) {
    this.visitor = visitor;
  }

  /**
   * Reads the entries from the process or the platform that the command line names.
   *
   * @param earliest number of the earliest version that the visitor must see; the reading may start
   *     from a snapshot of it or of an earlier one
   * @param visitor gets each step in order
   */
  static Timeline read(CommandLine line, long earliest, Consumer<Step> visitor) {
    String platform = line.getOptionValue("platform");
    String process = line.getOptionValue("process");
    if ((platform == null) == (process == null)) {
      throw new UsageException("either --platform or --process is needed");
    }
    Timeline timeline = new Timeline(visitor);
    if (platform != null) {
      timeline.readPlatform(uri(platform), earliest);
    } else {
      timeline.readProcess(process, line);
    }
    return timeline;
  }

  /** Returns the newest configuration. */
  Configuration current() {
    return history.current();
  }

  /** Returns the position of the last entry. */
  long lastPosition() {
    return history.lastPosition();
  }

  private void readPlatform(URI platform, long earliest) {
    HttpConfigurationSource source =
        HttpConfigurationSource.of(platform, SingleUseHttpClient.of(HttpClient::newHttpClient));
    source
        .snapshot()
        .filter(
            entry ->
                entry.content() instanceof SnapshotContent snapshot
                    && snapshot.configuration().version().number() <= earliest)
        .ifPresent(entry -> apply(entry, history::apply));
    boolean progress = true;
    while (progress) {
      progress = applyAll(source.entriesAfter(history.lastPosition(), 0), history::apply);
    }
  }

  private void readProcess(String address, CommandLine line) {
    try (OperatorConnection connection = OperatorConnection.open(address, line)) {
      boolean progress = true;
      while (progress) {
        progress = applyAll(entries(connection), history::applyFromPeer);
      }
    }
  }

  private List<ConfigurationEntry> entries(OperatorConnection connection) {
    Envelope question =
        Envelope.newBuilder()
            .setConfigurationRequest(
                ConfigurationRequest.newBuilder().setAfterPosition(history.lastPosition()))
            .build();
    return WireEntries.fromWire(
        connection
            .ask(question, Envelope.MessageCase.CONFIGURATION_ENTRIES)
            .getConfigurationEntries());
  }

  private boolean applyAll(
      List<ConfigurationEntry> entries, Function<ConfigurationEntry, PatchOutcome> application) {
    long before = history.lastPosition();
    entries.forEach(entry -> apply(entry, application));
    return history.lastPosition() > before;
  }

  private void apply(
      ConfigurationEntry entry, Function<ConfigurationEntry, PatchOutcome> application) {
    Configuration before = history.current();
    PatchOutcome outcome = application.apply(entry);
    visitor.accept(new Step(entry, outcome, before, history.current()));
  }

  private static URI uri(String text) {
    try {
      return URI.create(text.endsWith("/") ? text : text + "/");
    } catch (IllegalArgumentException e) {
      throw new UsageException("--platform is " + text + "; an http address is needed");
    }
  }
}
