package org.shallothold.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Validates a complete configuration. Stateless. */
final class ConfigurationValidator {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

  private ConfigurationValidator() {}

  /**
   * Returns all problems, each with the path of the offending key; empty if the configuration is
   * valid.
   *
   * @param base a valid configuration. Items that are unchanged from it are checked only for their
   *     references, which keeps a small patch to a large fleet cheap.
   * @param configuration the configuration to validate
   */
  static List<String> problems(Configuration base, Configuration configuration) {
    List<String> problems = new ArrayList<>();
    forEachChanged(base.classes(), configuration.classes(), item -> checkClass(item, problems));
    forEachChanged(
        base.customers(), configuration.customers(), item -> checkCustomer(item, problems));
    forEachChanged(base.servers(), configuration.servers(), item -> checkServer(item, problems));
    forEachChanged(base.services(), configuration.services(), item -> checkService(item, problems));
    checkReferences(configuration, problems);
    // A key identifies one customer, and only one sidecar can listen on an address.
    checkDistinct(
        "customers", "key_sha256", configuration.customers(), Customer::keySha256, problems);
    checkDistinct("servers", "address", configuration.servers(), BackendServer::address, problems);
    return List.copyOf(problems);
  }

  private static <T> void forEachChanged(
      Map<String, T> base, Map<String, T> items, Consumer<T> check) {
    items.forEach(
        (name, item) -> {
          if (!item.equals(base.get(name))) {
            check.accept(item);
          }
        });
  }

  private static void checkReferences(Configuration configuration, List<String> problems) {
    for (ServiceClass item : configuration.classes().values()) {
      item.servers().stream()
          .filter(id -> !configuration.servers().containsKey(id))
          .map(id -> "classes." + item.name() + ".servers names " + id + ", which is not a server")
          .forEach(problems::add);
    }
    for (Customer item : configuration.customers().values()) {
      item.classes().stream()
          .filter(name -> !configuration.classes().containsKey(name))
          .map(
              name ->
                  "customers." + item.name() + ".classes names " + name + ", which is not a class")
          .forEach(problems::add);
    }
    for (BackendServer item : configuration.servers().values()) {
      if (item.kind() == BackendServer.Kind.SERVICE
          && !configuration.services().containsKey(item.service())) {
        problems.add(
            "servers."
                + item.id()
                + ".service names '"
                + item.service()
                + "', which is not a service");
      }
    }
  }

  private static <T> void checkDistinct(
      String kind,
      String key,
      Map<String, T> items,
      Function<T, String> value,
      List<String> problems) {
    Map<String, String> owners = new HashMap<>();
    items.forEach(
        (name, item) -> {
          String owner = owners.putIfAbsent(value.apply(item), name);
          if (owner != null) {
            problems.add(kind + "." + name + "." + key + " is the same as that of " + owner);
          }
        });
  }

  private static void checkService(PlainService item, List<String> problems) {
    String path = "services." + item.name();
    checkName(path, item.name(), problems);
    for (PlainService.OrderRule rule : item.orders()) {
      if (!METHOD.matcher(rule.method()).matches()) {
        problems.add(
            path + ".orders.method is '" + rule.method() + "'; an upper-case method is needed");
      }
      if (!rule.pathPrefix().startsWith("/")) {
        problems.add(
            path + ".orders.path_prefix is '" + rule.pathPrefix() + "'; a leading slash is needed");
      }
    }
  }

  private static void checkClass(ServiceClass item, List<String> problems) {
    String path = "classes." + item.name();
    checkName(path, item.name(), problems);
    if (item.tier() < 0 || item.tier() >= ServiceClass.TIER_COUNT) {
      problems.add(path + ".tier is " + item.tier() + "; allowed are 0 to 3");
    }
    checkPositive(path + ".first_token_target_ms", item.firstTokenTargetMillis(), problems);
    checkPositive(path + ".token_interval_target_ms", item.tokenIntervalTargetMillis(), problems);
    checkPositive(path + ".answer_target_ms", item.answerTargetMillis(), problems);
  }

  private static void checkCustomer(Customer item, List<String> problems) {
    String path = "customers." + item.name();
    checkName(path, item.name(), problems);
    if (!SHA256.matcher(item.keySha256()).matches()) {
      problems.add(path + ".key_sha256 is not a SHA-256 digest in lower-case hexadecimal");
    }
    if (item.classes().isEmpty()) {
      problems.add(path + ".classes is empty; at least one class is needed");
    }
    if (!(item.requestsPerSecond() > 0) || Double.isInfinite(item.requestsPerSecond())) {
      problems.add(
          path + ".requests_per_second is " + item.requestsPerSecond() + "; must be above 0");
    }
  }

  private static void checkServer(BackendServer item, List<String> problems) {
    String path = "servers." + item.id();
    checkName(path, item.id(), problems);
    checkName(path + ".failure_domain", item.failureDomain(), problems);
    if (!AddressFormat.isValid(item.address())) {
      problems.add(
          path + ".address is '" + item.address() + "'; an IP number and a port are needed");
    }
    checkPositive(path + ".max_running", item.maxRunning(), problems);
    checkPositive(path + ".max_waiting", item.maxWaiting(), problems);
    if (item.kind() == BackendServer.Kind.ENGINE && item.models().isEmpty()) {
      problems.add(path + ".models is empty; an engine serves at least one model");
    }
  }

  private static void checkName(String path, String name, List<String> problems) {
    if (!NAME.matcher(name).matches()) {
      problems.add(path + ": a name is 1 to 64 letters, digits, dots, dashes or underscores");
    }
  }

  private static void checkPositive(String path, long value, List<String> problems) {
    if (value <= 0) {
      problems.add(path + " is " + value + "; must be above 0");
    }
  }
}
