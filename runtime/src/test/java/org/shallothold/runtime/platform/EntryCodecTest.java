package org.shallothold.runtime.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.Patch;

/** Guards against documents that are read in part: a misspelt key must not pass unnoticed. */
class EntryCodecTest {

  private static final String PATCH =
      """
      {"base": 3, "author": "ann", "time": "2026-12-04T08:00:00Z", "reason": "test",
       "set": {
         "classes": {"urgent": {"tier": 0, "first_token_target_ms": 640,
           "token_interval_target_ms": 37, "answer_target_ms": 9000, "servers": ["engine-1"]}},
         "customers": {"bakery": {"key_sha256": "ab", "classes": ["urgent"],
           "requests_per_second": 2.5}},
         "servers": {"engine-1": {"kind": "engine", "address": "127.0.0.1:7001",
           "failure_domain": "quay-shed", "models": ["small"], "max_running": 4,
           "max_waiting": 16, "checks_fencing": true, "draining": false}},
         "services": {"stock": {"orders": [{"method": "POST", "path_prefix": "/orders"}]}}},
       "remove": {"servers": ["engine-9"]}}
      """;

  private static String problem(String kind, String text) {
    return assertInstanceOf(
            Content.Malformed.class, EntryCodec.decode(1, kind, text.getBytes(UTF_8)).content())
        .problem();
  }

  /** Each row: a part of the valid patch, what stands in its place, and the problem. */
  @ParameterizedTest(name = "{1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"base\": 3, | `` | patch.base is missing",
        "\"base\": 3 | \"base\": 3.5 | patch.base is 3.5",
        "\"base\": 3 | \"base\": -1 | patch.base is -1",
        "\"base\": 3 | \"base\": 99999999999999999999 | patch.base is 9999",
        "\"base\": 3 | \"base\": 3, \"base\": 4 | Duplicate",
        "\"author\": \"ann\" | \"author\": \"\" | patch.author must be a text",
        "\"author\" | \"autor\" | patch.autor is an unknown key",
        "\"tier\": 0 | \"tier\": 4294967296 | classes.urgent.tier is 4294967296",
        "\"tier\": 0 | \"tier\": \"0\" | classes.urgent.tier is \"0\"",
        "\"tier\": 0 | \"teir\": 0 | classes.urgent.teir is an unknown key",
        "[\"engine-1\"] | \"engine-1\" | classes.urgent.servers must be an array",
        "[\"engine-1\"] | [1] | classes.urgent.servers must be an array",
        "2.5 | \"2.5\" | customers.bakery.requests_per_second must be a number",
        "\"kind\": \"engine\" | \"kind\": \"motor\" | servers.engine-1.kind is 'motor'",
        "\"checks_fencing\": true | \"checks_fencing\": 1 | must be true or false",
        "\"max_running\": 4 | \"max_running\": 2147483648 | max_running is 2147483648",
        "[{\"method\": \"POST\", | [{\"metod\": \"POST\", | services.stock.orders.metod",
        "{\"orders\": [ | {\"orders\": {}, \"x\": [ | services.stock.orders must be an array",
        "[\"engine-9\"] | {\"engine-9\": 1} | remove.servers must be an array",
        "\"set\": { | \"set\": [], \"more\": { | set must be an object",
        "\"services\": { | \"services\": 5, \"more\": { | set.services must be an object"
      })
  void everyWrongKeyIsNamed(String part, String replacement, String expected) {
    assertTrue(PATCH.contains(part), part);
    String found = problem(EntryCodec.PATCH, PATCH.replace(part, replacement));
    assertTrue(found.contains(expected), found);
  }

  @Test
  void allProblemsAreReportedAtOnce() {
    assertEquals(
        "patch.extra is an unknown key; allowed are [author, base, reason, remove, set, time]; "
            + "patch.base is missing; must be a whole number from 0 to 9223372036854775807; "
            + "patch.author must be a text that is not empty; "
            + "patch.time must be a text that is not empty; "
            + "patch.reason must be a text that is not empty",
        problem(EntryCodec.PATCH, "{\"extra\": 1}"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "null", "7", "[]", "{", "{} {}", "{}x", "\u0000"})
  void whatIsNoObjectIsMalformed(String text) {
    problem(EntryCodec.PATCH, text);
    problem(EntryCodec.SNAPSHOT, text);
    problem("other", text);
  }

  @Test
  void patchIsReadAsItWasWritten() {
    Patch patch = patch(PATCH.getBytes(UTF_8));
    assertEquals(patch, patch(EntryCodec.patchBody(patch)));
    assertEquals(List.of("engine-9"), patch.remove().servers());
  }

  @Test
  void snapshotIsReadAsItWasWritten() {
    ConfigurationHistory history = ConfigurationHistory.create();
    history.apply(EntryCodec.decode(1, EntryCodec.PATCH, PatchTexts.setEngine(0, 1)));
    Configuration configuration = history.current();
    assertEquals(
        new Content.SnapshotContent(configuration, 1),
        EntryCodec.decode(2, EntryCodec.SNAPSHOT, EntryCodec.snapshotBody(configuration, 1))
            .content());
  }

  private static Patch patch(byte[] body) {
    return assertInstanceOf(
            Content.PatchContent.class, EntryCodec.decode(1, EntryCodec.PATCH, body).content())
        .patch();
  }

  /** Mutated bodies are read or malformed; nothing is thrown, and reading ends. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34, 35})
  @Timeout(value = 120, unit = TimeUnit.SECONDS)
  void mutatedBodiesNeverFailOtherwise(long seed) {
    Random random = new Random(seed);
    byte[][] valid = {
      PATCH.getBytes(UTF_8), EntryCodec.snapshotBody(Configuration.EMPTY, 1), new byte[64]
    };
    String[] kinds = {EntryCodec.PATCH, EntryCodec.SNAPSHOT, "", "other"};
    for (int round = 0; round < 4_000; round++) {
      byte[] body = valid[random.nextInt(valid.length)].clone();
      for (int change = random.nextInt(6); change >= 0; change--) {
        byte[] letters = "{}[]\",:0e-9tfn".getBytes(UTF_8);
        body[random.nextInt(body.length)] =
            random.nextInt(4) == 0
                ? (byte) random.nextInt(256)
                : letters[random.nextInt(letters.length)];
      }
      ConfigurationHistory.create()
          .apply(EntryCodec.decode(1, kinds[random.nextInt(kinds.length)], body));
    }
  }

  @Test
  void deepNestingIsMalformed() {
    problem(EntryCodec.PATCH, "{\"set\":".repeat(100_000));
    problem(EntryCodec.PATCH, "[".repeat(100_000));
  }
}
