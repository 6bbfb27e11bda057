package org.shallothold.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against invalid configurations that are accepted and then can't be applied by a process.
 */
class ConfigurationValidatorTest {

  private static final String KEY = "ab".repeat(32);

  static Stream<Arguments> invalid() {
    BackendServer engine = ConfigurationFixtures.engine("engine-1", 7001);
    Customer bakery = new Customer("bakery", KEY, List.of("urgent"), 5);
    return Stream.of(
        Arguments.of(
            "tier out of range",
            new ServiceClass("urgent", 4, 1, 1, 1, List.of()),
            bakery,
            engine,
            "tier is 4"),
        Arguments.of(
            "class that refers to an unknown server",
            new ServiceClass("urgent", 0, 1, 1, 1, List.of("engine-7")),
            bakery,
            engine,
            "names engine-7, which is not a server"),
        Arguments.of(
            "customer that refers to an unknown class",
            new ServiceClass("other", 0, 1, 1, 1, List.of()),
            bakery,
            engine,
            "names urgent, which is not a class"),
        Arguments.of(
            "rate that is not a number",
            new ServiceClass("urgent", 0, 1, 1, 1, List.of()),
            new Customer("bakery", KEY, List.of("urgent"), Double.NaN),
            engine,
            "requests_per_second is NaN"),
        Arguments.of(
            "plain key instead of its digest",
            new ServiceClass("urgent", 0, 1, 1, 1, List.of()),
            new Customer("bakery", "secret", List.of("urgent"), 5),
            engine,
            "not a SHA-256 digest"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("invalid")
  void problemNamesTheOffendingKey(
      String name, ServiceClass item, Customer customer, BackendServer server, String expected) {
    List<String> problems =
        ConfigurationValidator.problems(
            Configuration.EMPTY,
            new Configuration(
                ConfigurationVersion.INITIAL,
                Map.of(item.name(), item),
                Map.of(customer.name(), customer),
                Map.of(server.id(), server),
                Map.of()));
    assertEquals(1, problems.size(), problems::toString);
    assertEquals(true, problems.getFirst().contains(expected), problems::toString);
  }

  @Nested
  class UniqueValues {

    @Test
    void customersWithTheSameKeyAreRefused() {
      Customer one = new Customer("one", KEY, List.of("urgent"), 5);
      Customer two = new Customer("two", KEY, List.of("urgent"), 5);
      assertEquals(
          List.of("customers.two.key_sha256 is the same as that of one"),
          ConfigurationValidator.problems(
              Configuration.EMPTY,
              new Configuration(
                  ConfigurationVersion.INITIAL,
                  Map.of("urgent", ConfigurationFixtures.serviceClass("urgent", 0)),
                  Map.of("one", one, "two", two),
                  Map.of(),
                  Map.of())));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "127.0.0.1:7000,true",
    "10.1.2.3:65535,true",
    "[::1]:7000,true",
    "[fe80::1:2]:7000,true",
    "[1:2:3:4:5:6:7:8]:7000,true",
    "127.0.0.1:0,false",
    "127.0.0.1:65536,false",
    "127.0.0.256:7000,false",
    "127.0.0:7000,false",
    "localhost:7000,false",
    "127.0.0.1,false",
    "[1::2::3]:7000,false",
    "[1:2:3:4:5:6:7:8:9]:7000,false",
    "[:]:7000,false",
    "[:::]:7000,false"
  })
  void addressIsAnIpAddressAndPort(String address, boolean valid) {
    assertEquals(valid, AddressFormat.isValid(address));
  }
}
