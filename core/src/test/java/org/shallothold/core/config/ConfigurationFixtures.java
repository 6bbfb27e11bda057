package org.shallothold.core.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.shallothold.core.config.ConfigurationEntry.Content;

/** Configuration items, patches and entries for the tests of this package. */
final class ConfigurationFixtures {

  private ConfigurationFixtures() {}

  static BackendServer engine(String id, int port) {
    return new BackendServer(
        id,
        BackendServer.Kind.ENGINE,
        "127.0.0.1:" + port,
        "hopper-hall",
        List.of("model"),
        "",
        4,
        16,
        true,
        false);
  }

  static ServiceClass serviceClass(String name, int tier, String... servers) {
    return new ServiceClass(name, tier, 640, 37, 10_000, List.of(servers));
  }

  static Patch patch(long base, Patch.Items set, Patch.RemovedNames remove) {
    return new Patch(base, "ann", "2026-12-04T08:00:00Z", "test", set, remove);
  }

  static Patch setServer(long base, String id, int port) {
    return patch(
        base,
        new Patch.Items(Map.of(), Map.of(), Map.of(id, engine(id, port)), Map.of()),
        Patch.RemovedNames.NONE);
  }

  static Patch removeServer(long base, String id) {
    return patch(
        base,
        Patch.Items.NONE,
        new Patch.RemovedNames(List.of(), List.of(), List.of(id), List.of()));
  }

  static ConfigurationEntry entry(long position, Patch patch) {
    return ConfigurationEntry.of(
        position, "patch", bytes(patch.toString()), new Content.PatchContent(patch));
  }

  static ConfigurationEntry malformed(long position) {
    return ConfigurationEntry.of(
        position, "patch", bytes("{" + position), new Content.Malformed("no JSON"));
  }

  static ConfigurationEntry snapshot(long position, Configuration configuration, long covered) {
    return ConfigurationEntry.of(
        position,
        "snapshot",
        bytes(configuration + " " + covered),
        new Content.SnapshotContent(configuration, covered));
  }

  /** Returns a history to which the given entries were applied in order. */
  static ConfigurationHistory historyOf(ConfigurationEntry... entries) {
    ConfigurationHistory history = ConfigurationHistory.create();
    List.of(entries).forEach(history::apply);
    return history;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
