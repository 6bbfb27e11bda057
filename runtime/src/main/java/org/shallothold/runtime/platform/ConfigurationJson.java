package org.shallothold.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PlainService;
import org.shallothold.core.config.ServiceClass;

/**
 * The JSON form of configurations and patches. Reading is strict: an unknown key or a wrong type is
 * an error that names the key's path, so that a misspelt key can't be dropped without notice.
 */
public final class ConfigurationJson {

  private static final JsonNodeFactory FACTORY = JsonNodeFactory.instance;

  private ConfigurationJson() {}

  /** A document that doesn't have the expected form; each problem names the key's path. */
  public static final class FormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    private FormatException(List<String> problems) {
      super(String.join("; ", problems));
      this.problems = List.copyOf(problems);
    }

    /** Returns all problems. */
    public List<String> problems() {
      return problems;
    }
  }

  /**
   * Returns a patch.
   *
   * @throws FormatException if the document doesn't have the form
   */
  public static Patch readPatch(JsonNode node) {
    return read(reader -> reader.patch(node));
  }

  /**
   * Returns a configuration under the initial version.
   *
   * @throws FormatException if the document doesn't have the form
   */
  public static Configuration readConfiguration(JsonNode node) {
    return read(reader -> reader.configuration(node));
  }

  /**
   * Returns a snapshot: a configuration with its version and the position that it covers.
   *
   * @throws FormatException if the document doesn't have the form
   */
  public static SnapshotContent readSnapshot(JsonNode node) {
    return read(reader -> reader.snapshot(node));
  }

  /** Returns the JSON form of a configuration, without its version. */
  public static ObjectNode write(Configuration configuration) {
    ObjectNode node = FACTORY.objectNode();
    node.set("classes", object(configuration.classes(), ConfigurationJson::writeClass));
    node.set("customers", object(configuration.customers(), ConfigurationJson::writeCustomer));
    node.set("servers", object(configuration.servers(), ConfigurationJson::writeServer));
    node.set("services", object(configuration.services(), ConfigurationJson::writeService));
    return node;
  }

  /** Returns the JSON form of a patch. */
  public static ObjectNode write(Patch patch) {
    ObjectNode node = FACTORY.objectNode();
    node.put("base", patch.base());
    node.put("author", patch.author());
    node.put("time", patch.time());
    node.put("reason", patch.reason());
    ObjectNode set = node.putObject("set");
    putIfAny(set, "classes", object(patch.set().classes(), ConfigurationJson::writeClass));
    putIfAny(set, "customers", object(patch.set().customers(), ConfigurationJson::writeCustomer));
    putIfAny(set, "servers", object(patch.set().servers(), ConfigurationJson::writeServer));
    putIfAny(set, "services", object(patch.set().services(), ConfigurationJson::writeService));
    ObjectNode remove = node.putObject("remove");
    putIfAny(remove, "classes", array(patch.remove().classes()));
    putIfAny(remove, "customers", array(patch.remove().customers()));
    putIfAny(remove, "servers", array(patch.remove().servers()));
    putIfAny(remove, "services", array(patch.remove().services()));
    return node;
  }

  private static ObjectNode writeClass(ServiceClass item) {
    ObjectNode node = FACTORY.objectNode();
    node.put("tier", item.tier());
    node.put("first_token_target_ms", item.firstTokenTargetMillis());
    node.put("token_interval_target_ms", item.tokenIntervalTargetMillis());
    node.put("answer_target_ms", item.answerTargetMillis());
    node.set("servers", array(item.servers()));
    return node;
  }

  private static ObjectNode writeCustomer(Customer item) {
    ObjectNode node = FACTORY.objectNode();
    node.put("key_sha256", item.keySha256());
    node.set("classes", array(item.classes()));
    node.put("requests_per_second", item.requestsPerSecond());
    return node;
  }

  private static ObjectNode writeServer(BackendServer item) {
    ObjectNode node = FACTORY.objectNode();
    node.put("kind", item.kind().name().toLowerCase(Locale.ROOT));
    node.put("address", item.address());
    node.put("failure_domain", item.failureDomain());
    node.set("models", array(item.models()));
    node.put("service", item.service());
    node.put("max_running", item.maxRunning());
    node.put("max_waiting", item.maxWaiting());
    node.put("checks_fencing", item.checksFencing());
    node.put("draining", item.draining());
    return node;
  }

  private static ObjectNode writeService(PlainService item) {
    ObjectNode node = FACTORY.objectNode();
    ArrayNode orders = node.putArray("orders");
    item.orders()
        .forEach(
            rule ->
                orders
                    .addObject()
                    .put("method", rule.method())
                    .put("path_prefix", rule.pathPrefix()));
    return node;
  }

  private static <T> ObjectNode object(Map<String, T> items, Function<T, ObjectNode> writer) {
    ObjectNode node = FACTORY.objectNode();
    new TreeMap<>(items).forEach((name, item) -> node.set(name, writer.apply(item)));
    return node;
  }

  private static ArrayNode array(List<String> texts) {
    ArrayNode node = FACTORY.arrayNode();
    texts.forEach(node::add);
    return node;
  }

  private static void putIfAny(ObjectNode parent, String key, JsonNode child) {
    if (!child.isEmpty()) {
      parent.set(key, child);
    }
  }

  private static <T> T read(Function<ConfigurationReader, T> reading) {
    ConfigurationReader reader = new ConfigurationReader();
    T result = reading.apply(reader);
    if (!reader.problems().isEmpty()) {
      throw new FormatException(reader.problems());
    }
    return result;
  }
}
