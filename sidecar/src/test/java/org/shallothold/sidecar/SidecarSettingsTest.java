package org.shallothold.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;
import org.shallothold.sidecar.settings.SidecarSettings;

/** The sample under conf/ and one change of it per case. */
class SidecarSettingsTest {

  private static final Path SAMPLE = Path.of("../conf/sidecar.toml");

  /** Guards against a sample that the process refuses. */
  @Test
  void sampleIsAccepted() {
    SettingsDocument document = SettingsDocument.read(SAMPLE);
    assertEquals("engine-1", SidecarSettings.from(document).serverId());
    document.finish();
  }

  /** Guards against a wrong value that is taken, or reported under another key. */
  @ParameterizedTest
  @CsvSource({
    "'server_id = \"engine-1\"', '', process.server_id",
    "127.0.0.1:7001, localhost:7001, listen.address",
    "127.0.0.1:7001, 10.0.0.1:7001, listen.address",
    "http://127.0.0.1:8001/, ftp://127.0.0.1/, backend.url",
    "'\"tiers\"', '\"fifo\"', queue.policy",
    "max_preemptions = 2, max_preemptions = -1, queue.max_preemptions",
    "limit_ms, limits_ms, drain.limits_ms"
  })
  void wrongValuesAreReported(String found, String changed, String key) throws Exception {
    String text = Files.readString(SAMPLE).replace(found, changed == null ? "" : changed);
    SettingsDocument document = SettingsDocument.parse("sample", text);
    SidecarSettings.from(document);
    SettingsException problems = assertThrows(SettingsException.class, document::finish);
    assertTrue(
        problems.problems().stream().allMatch(item -> item.key().equals(key)), problems::toString);
  }
}
