import java.util.ArrayList;
import java.util.List;

/**
 * An engine crashes in the middle of a step. Streams that it was making reach their callers as
 * complete.
 */
final class Crash {

  private static final int EVENTS = 200;
  private static final long STEP_MILLIS = 16;
  private static final int CLIENTS = 60;
  private static final int ROUNDS = 8;
  // An entry lapses after three heartbeat intervals.
  private static final long LAPSE_MILLIS = 3 * 1_200;

  public static void main(String[] arguments) {
    Lab.main(arguments[0], Crash::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.store.put(
        "op/config",
        new Config(7).engines("chat-pool").streams("/chat/", "chat-pool", 10_000).json());
    EngineProcess other = lab.engineProcess("i-02d9e6b4", "chat-pool", EVENTS, STEP_MILLIS);
    lab.store.put("servers/" + other.id, other.entry("ready", 1));
    List<Gateway> gateways = lab.gateways(2);
    long cut = 0;
    long streams = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      EngineProcess first = lab.engineProcess("i-7f3a91c" + round, "chat-pool", EVENTS, STEP_MILLIS);
      lab.store.put("servers/" + first.id, first.entry("ready", 1));
      Thread.sleep(500);
      int runsBefore = other.runs.get();
      List<StreamClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        StreamClient client = new StreamClient(lab, gateways.get(i % 2));
        clients.add(client);
        threads.add(Thread.ofVirtual().start(client));
        Thread.sleep(20);
      }
      Thread.sleep(1_000);
      if (lab.trouble) {
        boolean firstIsBusier = first.runs.get() > other.runs.get() - runsBefore;
        EngineProcess killed = firstIsBusier ? first : other;
        killed.command("crash");
        killed.awaitEnd(5_000);
        lab.record.add(killed.id + " has crashed");
        other = firstIsBusier ? other : first;
        Thread.sleep(LAPSE_MILLIS);
        lab.store.remove("servers/" + killed.id);
      }
      for (Thread thread : threads) {
        thread.join();
      }
      cut += clients.stream().filter(client -> client.isCutButLooksComplete(EVENTS)).count();
      streams += CLIENTS;
    }
    lab.record.add(
        "%d of %d streams ended as complete before their last piece".formatted(cut, streams));
    return cut > 0;
  }
}
