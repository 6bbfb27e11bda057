package org.shallothold.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests sent to a loaded or slow server while a better one is known. */
class ServerSelectorTest {

  private static final int SELECTIONS = 10_000;

  private static ServerView view(String id, long own, int running, long age, long interval) {
    return new ServerView(id, own, 0, running, 0, age, running, 16, interval, false);
  }

  private static Map<String, Integer> selections(SelectionPolicy policy, List<ServerView> views) {
    ServerSelector selector = ServerSelector.of(policy);
    Random random = new Random(7);
    Map<String, Integer> counts = new HashMap<>();
    for (int selection = 0; selection < SELECTIONS; selection++) {
      selector
          .select(views, random)
          .ifPresent(chosen -> counts.merge(chosen.serverId(), 1, Integer::sum));
    }
    return counts;
  }

  /** Each row compares two servers and bounds the share of selections of "left", in percent. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "equal servers,                own_counts,    0,    0, 0,     0,     0,    0, 0, 0,     40, 60",
    "fewer own tokens,             own_counts,    10,   0, 0,     0,     5000, 0, 0, 0,     100, 100",
    "other gateways' load,         own_counts,    0,    1, 0,     0,     0,    9, 0, 0,     100, 100",
    "old report has little weight, own_counts,    300,  0, 60000, 0,     0,    9, 60000, 0, 0,   0",
    "faster server,                own_counts,    1000, 0, 0,     20000, 1000, 0, 0, 30000, 100, 100",
    "straggler gets a small share, own_counts,    0,    0, 0,     90000, 9000, 9, 0, 20000, 1,   3",
    "round robin ignores load,     round_robin,   9000, 9, 0,     0,     0,    0, 0, 0,     50,  50",
    "least load reported by engine,reported_load, 9000, 1, 0,     0,     0,    2, 0, 0,     100, 100",
  })
  void shareOfSelections(
      String name,
      String policy,
      long leftOwn,
      int leftRunning,
      long leftAge,
      long leftInterval,
      long rightOwn,
      int rightRunning,
      long rightAge,
      long rightInterval,
      int least,
      int most) {
    List<ServerView> views =
        List.of(
            view("left", leftOwn, leftRunning, leftAge, leftInterval),
            view("right", rightOwn, rightRunning, rightAge, rightInterval));
    int share =
        selections(SelectionPolicy.valueOf(policy.toUpperCase(java.util.Locale.ROOT)), views)
                .getOrDefault("left", 0)
            * 100
            / SELECTIONS;
    assertTrue(share >= least && share <= most, "share of left is " + share + " %");
  }

  @Test
  void noServerIsSelectedWithoutCandidates() {
    for (SelectionPolicy policy : SelectionPolicy.values()) {
      assertEquals(Map.of(), selections(policy, List.of()));
    }
  }

  @Test
  void serverWithCachedPrefixIsPreferredUnlessMuchMoreLoaded() {
    List<ServerView> views = new ArrayList<>();
    for (int server = 0; server < 8; server++) {
      views.add(view("other-" + server, 20, 0, 0, 0));
    }
    views.add(new ServerView("cached", 40, 0, 0, 0, 0, 0, 16, 0, true));
    assertEquals(SELECTIONS, selections(SelectionPolicy.OWN_COUNTS, views).get("cached"));
    views.set(8, new ServerView("cached", 4_000, 0, 0, 0, 0, 0, 16, 0, true));
    assertEquals(0, selections(SelectionPolicy.OWN_COUNTS, views).getOrDefault("cached", 0));
  }

  @Test
  void allEqualServersAreSelected() {
    List<ServerView> views = new ArrayList<>();
    for (int server = 0; server < 13; server++) {
      views.add(view("engine-" + server, 0, 0, 0, 20_000));
    }
    assertEquals(13, selections(SelectionPolicy.OWN_COUNTS, views).size());
  }
}
