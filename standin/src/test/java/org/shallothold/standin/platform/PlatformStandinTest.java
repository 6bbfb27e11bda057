package org.shallothold.standin.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.shallothold.standin.StandinClient;
import org.shallothold.standin.StandinClient.Answer;

/** Guards the platform's contract (docs/design.md, sections 3, 6 and 18). */
@Timeout(60)
class PlatformStandinTest {

  private static final int MEGABYTE = 1_000_000;
  private static final String MEMBER =
      "{\"address\": \"127.0.0.1:7000\", \"server_id\": \"\", \"role\": \"gateway\","
          + " \"state\": \"live\", \"failure_domain\": \"quay-shed\"}";

  private StandinClient platform;

  @BeforeEach
  void start() {
    platform = start("--reads-per-second", "1000000");
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private static StandinClient start(String... arguments) {
    return StandinClient.start(PlatformStandin.OPTIONS, PlatformStandin::create, arguments);
  }

  private long publish(String body) {
    return platform.post("/config/entries?kind=patch", body).body().path("position").asLong();
  }

  private List<String> read(String query) {
    return bodies(platform.get("/config/entries" + query));
  }

  private static List<String> bodies(Answer answer) {
    return StreamSupport.stream(answer.body().path("entries").spliterator(), false)
        .map(entry -> new String(Base64.getDecoder().decode(entry.path("body").asText()), UTF_8))
        .toList();
  }

  private void fault(String faults) {
    assertEquals(200, platform.post("/faults", faults).status());
  }

  private void awaitWatches(int number) {
    platform.await("/counters", body -> body.path("pending_watches").asInt() == number);
  }

  @Nested
  class Entries {

    @Test
    void positionsAreConsecutiveFromOne() {
      assertEquals(List.of(1L, 2L, 3L), List.of(publish("a"), publish("b"), publish("c")));
      JsonNode entries = platform.get("/config/entries").body().path("entries");
      for (int index = 0; index < 3; index++) {
        assertEquals(index + 1, entries.path(index).path("position").asLong());
      }
    }

    @Test
    void bodyIsReturnedByteForByte() {
      publish("{ \"reason\":  \"größer\" }\n");
      assertEquals(List.of("{ \"reason\":  \"größer\" }\n"), read(""));
    }

    @Test
    void onlyEntriesAfterThePositionAreRead() {
      publish("a");
      publish("b");
      publish("c");
      assertEquals(List.of("c"), read("?after=2"));
      assertEquals(List.of(), read("?after=9"));
    }

    @Test
    void eachResponseStaysUnderOneMegabyte() {
      List<String> published = new ArrayList<>();
      for (String letter : List.of("a", "b", "c", "d")) {
        published.add(letter.repeat(300_000));
        publish(published.getLast());
      }
      List<String> seen = new ArrayList<>();
      while (seen.size() < published.size()) {
        Answer page = platform.get("/config/entries?after=" + seen.size());
        assertTrue(page.body().toString().length() < MEGABYTE);
        seen.addAll(bodies(page));
      }
      assertEquals(published, seen);
    }

    @Test
    void largestBodyFitsIntoOneResponse() {
      publish("x".repeat(EntryList.MAX_BODY_BYTES));
      Answer page = platform.get("/config/entries");
      assertEquals(1, page.body().path("entries").size());
      assertTrue(page.body().toString().length() < MEGABYTE);
    }

    @Test
    void tooLargeBodyIsRefused() {
      String body = "x".repeat(EntryList.MAX_BODY_BYTES + 1);
      assertEquals(413, platform.post("/config/entries?kind=patch", body).status());
      assertEquals(1, publish("a"));
    }

    @Test
    void unknownKindIsRefused() {
      assertEquals(400, platform.post("/config/entries?kind=other", "a").status());
    }

    @Test
    void watchIsAnsweredByTheNextEntry() {
      var watch = platform.getLater("/config/entries?after=0&wait_ms=60000");
      awaitWatches(1);
      publish("a");
      assertEquals(List.of("a"), bodies(watch.join()));
      awaitWatches(0);
    }

    @Test
    void watchEndsEmptyAfterItsWait() {
      assertEquals(List.of(), read("?after=0&wait_ms=1"));
      awaitWatches(0);
    }

    @Test
    void watchEndsWithItsConnection() {
      StandinClient other = platform.another();
      var watch = other.getLater("/config/entries?after=0&wait_ms=60000");
      awaitWatches(1);
      other.disconnect();
      awaitWatches(0);
      assertTrue(watch.isCompletedExceptionally() || !watch.isDone());
    }
  }

  @Nested
  class Snapshots {

    @Test
    void noneIsNotFound() {
      publish("a");
      assertEquals(404, platform.get("/config/snapshot").status());
    }

    @Test
    void newestIsReturned() {
      platform.post("/config/entries?kind=snapshot", "old");
      platform.post("/config/entries?kind=snapshot", "new");
      publish("a");
      JsonNode snapshot = platform.get("/config/snapshot").body();
      assertEquals(2, snapshot.path("position").asLong());
      assertEquals("snapshot", snapshot.path("kind").asText());
    }
  }

  @Nested
  class Members {

    private void put() {
      String list = "{\"members\": [" + MEMBER + "]}";
      assertEquals(200, platform.call("PUT", "/members", list).status());
    }

    private int size() {
      return platform.get("/members").body().path("members").size();
    }

    @Test
    void listIsReturnedAsPut() {
      put();
      assertEquals(
          StandinClient.json(MEMBER), platform.get("/members").body().path("members").path(0));
    }

    @Test
    void lagShowsTheOlderList() {
      put();
      fault("{\"members_lag_ms\": 600000}");
      assertEquals(0, size());
      fault("{\"members_lag_ms\": null}");
      assertEquals(1, size());
    }

    @Test
    void unknownStateIsRefused() {
      String list = "{\"members\": [" + MEMBER.replace("live", "gone") + "]}";
      assertEquals(400, platform.call("PUT", "/members", list).status());
    }
  }

  @Nested
  class Faults {

    @Test
    void downRefusesReadsAndEndsWatches() {
      var watch = platform.getLater("/config/entries?after=0&wait_ms=60000");
      awaitWatches(1);
      fault("{\"down\": true}");
      assertEquals(503, watch.join().status());
      assertEquals(503, platform.get("/members").status());
      fault("{\"down\": false}");
      assertEquals(200, platform.get("/members").status());
    }

    @Test
    void staleHidesNewerEntriesUntilCleared() {
      publish("a");
      publish("b");
      fault("{\"stale_at\": 1}");
      assertEquals(List.of("a"), read(""));
      var watch = platform.getLater("/config/entries?after=1&wait_ms=60000");
      awaitWatches(1);
      assertEquals(3, publish("c"));
      assertFalse(watch.isDone());
      fault("{\"stale_at\": null}");
      assertEquals(List.of("b", "c"), bodies(watch.join()));
    }

    @Test
    void rollbackReusesPositionsAndClearingRestoresTheList() {
      publish("a");
      publish("b");
      fault("{\"rolled_back_to\": 1}");
      assertEquals(2, publish("other"));
      assertEquals(List.of("a", "other"), read(""));
      fault("{\"rolled_back_to\": null}");
      assertEquals(List.of("a", "b"), read(""));
    }

    @Test
    void unknownFaultIsRefused() {
      assertEquals(400, platform.post("/faults", "{\"dwon\": true}").status());
      assertEquals(400, platform.post("/faults", "{\"stale_at\": \"1\"}").status());
    }
  }

  @Nested
  class Reads {

    @Test
    void readsOverTheLimitAreRefusedAndCounted() {
      try (StandinClient limited = start("--reads-per-second", "0")) {
        assertEquals(429, limited.get("/config/entries").status());
        assertEquals(429, limited.get("/config/snapshot").status());
        assertEquals(429, limited.get("/members").status());
        assertEquals(3, limited.get("/counters").body().path("refused_reads").asInt());
      }
    }

    @Test
    void limitIsPerSecond() {
      ReadRateLimit limit = ReadRateLimit.of(2, 0);
      assertTrue(limit.tryRead(0, 0));
      assertTrue(limit.tryRead(0, 0));
      assertFalse(limit.tryRead(0, 0));
      assertFalse(limit.tryRead(499_999_999, 0));
      assertTrue(limit.tryRead(500_000_000, 0));
    }

    @Test
    void pendingWatchCountsAsOneReadPerSecond() {
      ReadRateLimit limit = ReadRateLimit.of(2, 0);
      assertTrue(limit.tryRead(0, 0));
      assertTrue(limit.tryRead(0, 0));
      assertFalse(limit.tryRead(999_999_999, 1));
      assertTrue(limit.tryRead(1_000_000_000, 1));
      assertFalse(limit.tryRead(60_000_000_000L, 2));
    }
  }
}
