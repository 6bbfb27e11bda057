package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.routing.SelectionPolicy;
import org.shallothold.gateway.request.RouterOptions;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;

/** Guards against a sample file that differs from the defaults, and errors without their key. */
class GatewaySettingsTest {

  private static final String REQUIRED =
      """
      process.id = "g"
      process.failure_domain = "d"
      http.listen = "127.0.0.1:0"
      operator.listen = "127.0.0.1:0"
      platform.url = "http://127.0.0.1:1/"
      """;

  @Test
  void sampleShowsTheDefaults() {
    GatewaySettings sample =
        GatewaySettings.read(SettingsDocument.read(Path.of("../conf/gateway.toml")));
    GatewaySettings defaults = GatewaySettings.read(SettingsDocument.parse("test", REQUIRED));
    assertEquals(defaults.router(), sample.router());
    assertEquals(
        new RouterOptions(SelectionPolicy.OWN_COUNTS, 16, 4_096, 10, 1, 100), sample.router());
    assertEquals(defaults.silenceMillis(), sample.silenceMillis());
    assertEquals(defaults.drainGraceMillis(), sample.drainGraceMillis());
    assertEquals(defaults.drainLimitMillis(), sample.drainLimitMillis());
    assertEquals(defaults.http().maxBodyBytes(), sample.http().maxBodyBytes());
  }

  @ParameterizedTest
  @CsvSource({
    "http.listen = \"127.0.0.1:0\",     http.listen = \"localhost:0\",   http.listen",
    "operator.listen = \"127.0.0.1:0\", operator.listen = \"10.0.0.1:1\", operator.listen",
    "http://127.0.0.1:1/,               ftp://127.0.0.1:1/,              platform.url",
    "process.id = \"g\",                '',                              process.id",
    "process.id = \"g\",                process.ident = \"g\",           process.ident",
  })
  void mistakeNamesItsKey(String good, String bad, String key) {
    SettingsException problems =
        assertThrows(
            SettingsException.class,
            () ->
                GatewaySettings.read(SettingsDocument.parse("test", REQUIRED.replace(good, bad))));
    assertEquals(
        1, problems.problems().stream().filter(problem -> problem.key().equals(key)).count());
  }
}
