package org.shallothold.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PlainService;
import org.shallothold.core.config.ServiceClass;

/** Reads one JSON document; made for each document. */
final class ConfigurationReader {

  private static final String[] KINDS = {"classes", "customers", "servers", "services"};

  private final List<String> problems = new ArrayList<>();

  /** Returns the problems found so far. */
  List<String> problems() {
    return problems;
  }

  Patch patch(JsonNode node) {
    JsonFields fields =
        JsonFields.of(node, "patch", problems, "base", "author", "time", "reason", "set", "remove");
    JsonFields set = fields.optionalObject("set", KINDS);
    JsonFields remove = fields.optionalObject("remove", KINDS);
    return new Patch(
        fields.whole("base", 0, Long.MAX_VALUE),
        fields.text("author"),
        fields.text("time"),
        fields.text("reason"),
        new Patch.Items(
            set.items("classes", this::serviceClass),
            set.items("customers", this::customer),
            set.items("servers", this::server),
            set.items("services", this::service)),
        new Patch.RemovedNames(
            remove.texts("classes"),
            remove.texts("customers"),
            remove.texts("servers"),
            remove.texts("services")));
  }

  Configuration configuration(JsonNode node) {
    JsonFields fields = JsonFields.of(node, "configuration", problems, KINDS);
    return new Configuration(
        ConfigurationVersion.INITIAL,
        fields.items("classes", this::serviceClass),
        fields.items("customers", this::customer),
        fields.items("servers", this::server),
        fields.items("services", this::service));
  }

  SnapshotContent snapshot(JsonNode node) {
    JsonFields fields =
        JsonFields.of(node, "snapshot", problems, "version", "digest", "position", "configuration");
    String digest = fields.text("digest");
    if (!digest.matches("[0-9a-f]{64}")) {
      fields.problem("digest", "is not a SHA-256 digest in lower-case hexadecimal");
    }
    ConfigurationVersion version =
        new ConfigurationVersion(fields.whole("version", 0, Long.MAX_VALUE), digest);
    return new SnapshotContent(
        configuration(node.path("configuration")).withVersion(version),
        fields.whole("position", 1, Long.MAX_VALUE));
  }

  private ServiceClass serviceClass(Map.Entry<String, JsonNode> item) {
    JsonFields fields =
        JsonFields.of(
            item.getValue(),
            "classes." + item.getKey(),
            problems,
            "tier",
            "first_token_target_ms",
            "token_interval_target_ms",
            "answer_target_ms",
            "servers");
    return new ServiceClass(
        item.getKey(),
        (int) fields.whole("tier", 0, ServiceClass.TIER_COUNT - 1L),
        fields.whole("first_token_target_ms", 1, Long.MAX_VALUE),
        fields.whole("token_interval_target_ms", 1, Long.MAX_VALUE),
        fields.whole("answer_target_ms", 1, Long.MAX_VALUE),
        fields.texts("servers"));
  }

  private Customer customer(Map.Entry<String, JsonNode> item) {
    JsonFields fields =
        JsonFields.of(
            item.getValue(),
            "customers." + item.getKey(),
            problems,
            "key_sha256",
            "classes",
            "requests_per_second");
    return new Customer(
        item.getKey(),
        fields.text("key_sha256"),
        fields.texts("classes"),
        fields.number("requests_per_second"));
  }

  private BackendServer server(Map.Entry<String, JsonNode> item) {
    JsonFields fields =
        JsonFields.of(
            item.getValue(),
            "servers." + item.getKey(),
            problems,
            "kind",
            "address",
            "failure_domain",
            "models",
            "service",
            "max_running",
            "max_waiting",
            "checks_fencing",
            "draining");
    return new BackendServer(
        item.getKey(),
        kind(fields),
        fields.text("address"),
        fields.text("failure_domain"),
        fields.texts("models"),
        fields.optionalText("service"),
        (int) fields.whole("max_running", 1, Integer.MAX_VALUE),
        (int) fields.whole("max_waiting", 1, Integer.MAX_VALUE),
        fields.flag("checks_fencing"),
        fields.flag("draining"));
  }

  private static BackendServer.Kind kind(JsonFields fields) {
    String text = fields.text("kind");
    return switch (text) {
      case "engine" -> BackendServer.Kind.ENGINE;
      case "service" -> BackendServer.Kind.SERVICE;
      default -> {
        fields.problem("kind", "is '" + text + "'; allowed are engine, service");
        yield BackendServer.Kind.ENGINE;
      }
    };
  }

  private PlainService service(Map.Entry<String, JsonNode> item) {
    String path = "services." + item.getKey();
    JsonFields fields = JsonFields.of(item.getValue(), path, problems, "orders");
    return new PlainService(
        item.getKey(), fields.objects("orders", rule -> orderRule(path + ".orders", rule)));
  }

  private PlainService.OrderRule orderRule(String path, JsonNode node) {
    JsonFields fields = JsonFields.of(node, path, problems, "method", "path_prefix");
    return new PlainService.OrderRule(fields.text("method"), fields.text("path_prefix"));
  }
}
