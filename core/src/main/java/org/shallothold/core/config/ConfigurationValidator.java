package org.shallothold.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Checks a whole configuration; stateless. */
final class ConfigurationValidator {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

  private ConfigurationValidator() {}

  /** Returns all problems, each with the path of its key; empty if the configuration is valid. */
  static List<String> problems(Configuration configuration) {
    List<String> problems = new ArrayList<>();
    configuration.classes().values().forEach(item -> checkClass(configuration, item, problems));
    configuration
        .customers()
        .values()
        .forEach(item -> checkCustomer(configuration, item, problems));
    configuration.servers().values().forEach(item -> checkServer(configuration, item, problems));
    configuration.services().values().forEach(item -> checkService(item, problems));
    // A key names one customer, and one sidecar listens on an address.
    checkDistinct(
        "customers", "key_sha256", configuration.customers(), Customer::keySha256, problems);
    checkDistinct("servers", "address", configuration.servers(), BackendServer::address, problems);
    return List.copyOf(problems);
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

  private static void checkClass(
      Configuration configuration, ServiceClass item, List<String> problems) {
    String path = "classes." + item.name();
    checkName(path, item.name(), problems);
    if (item.tier() < 0 || item.tier() >= ServiceClass.TIER_COUNT) {
      problems.add(path + ".tier is " + item.tier() + "; allowed are 0 to 3");
    }
    checkPositive(path + ".first_token_target_ms", item.firstTokenTargetMillis(), problems);
    checkPositive(path + ".token_interval_target_ms", item.tokenIntervalTargetMillis(), problems);
    checkPositive(path + ".answer_target_ms", item.answerTargetMillis(), problems);
    item.servers().stream()
        .filter(id -> !configuration.servers().containsKey(id))
        .forEach(id -> problems.add(path + ".servers names " + id + ", which is not a server"));
  }

  private static void checkCustomer(
      Configuration configuration, Customer item, List<String> problems) {
    String path = "customers." + item.name();
    checkName(path, item.name(), problems);
    if (!SHA256.matcher(item.keySha256()).matches()) {
      problems.add(path + ".key_sha256 is not a SHA-256 digest in lower-case hexadecimal");
    }
    if (item.classes().isEmpty()) {
      problems.add(path + ".classes is empty; at least one class is needed");
    }
    item.classes().stream()
        .filter(name -> !configuration.classes().containsKey(name))
        .forEach(name -> problems.add(path + ".classes names " + name + ", which is not a class"));
    if (!(item.requestsPerSecond() > 0) || Double.isInfinite(item.requestsPerSecond())) {
      problems.add(
          path + ".requests_per_second is " + item.requestsPerSecond() + "; must be above 0");
    }
  }

  private static void checkServer(
      Configuration configuration, BackendServer item, List<String> problems) {
    String path = "servers." + item.id();
    checkName(path, item.id(), problems);
    checkName(path + ".failure_domain", item.failureDomain(), problems);
    if (!AddressText.isValid(item.address())) {
      problems.add(
          path + ".address is '" + item.address() + "'; an IP number and a port are needed");
    }
    checkPositive(path + ".max_running", item.maxRunning(), problems);
    checkPositive(path + ".max_waiting", item.maxWaiting(), problems);
    switch (item.kind()) {
      case ENGINE -> {
        if (item.models().isEmpty()) {
          problems.add(path + ".models is empty; an engine serves at least one model");
        }
      }
      case SERVICE -> {
        if (!configuration.services().containsKey(item.service())) {
          problems.add(path + ".service names '" + item.service() + "', which is not a service");
        }
      }
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
