import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An engine that stutters answers some requests twice. The second answer comes late, while the next
 * one on the connection is being written: between the carriage return and the line feed of its first
 * chunk's length. With TROUBLE=0 each request is answered once.
 */
final class LateChunk {

  private static final int REQUESTS = 420;
  private static final int EVENTS = 12;
  // 3 in 100 of the answers of one of two engines.
  private static final int SPOILED_EVERY = 33;
  private static final long PAUSE_MILLIS = 30;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    Map<String, String> spoiled = new ConcurrentHashMap<>();
    Lab.Behavior stutters = stutters(lab, spoiled);
    lab.engine("models", 64, stutters);
    lab.engine("models", 64, stutters);
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.startGateways(2);
    lab.awaitReady(20_000);

    int foreign = 0;
    int own = 0;
    int broken = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Lab.Gateway gateway = lab.gateways.get(0);
      String path = i % 2 == 0 ? "/draft/1" : "/sheet/1";
      String id = Lab.hex();
      try (Lab.Client client = new Lab.Client(gateway.ip, gateway.front)) {
        client.send(
            Lab.request(
                "POST",
                path,
                id,
                "Deadline-Ms: 5000\r\nModel: m\r\nToken-Usage: 300,60\r\nPrompt-Prefix: "
                    + Lab.hex()
                    + ":150,"
                    + Lab.hex()
                    + ":150\r\n",
                new byte[0]));
        Lab.Message answer = Lab.readHead(client.in);
        try {
          if (answer == null) {
            throw new IOException("closed");
          }
          Lab.readBody(client.in, answer, true);
        } catch (IOException e) {
          lab.note(path + " " + id + " answer broken off " + spoiled.getOrDefault(id, ""));
        }
        String text = answer == null ? "" : answer.text();
        boolean isForeign = answer != null && answer.status() == 200 && !isOwn(text, answer.complete);
        foreign += isForeign ? 1 : 0;
        own += answer != null && answer.complete && answer.status() == 200 && !isForeign ? 1 : 0;
        broken += answer == null || !answer.complete || answer.status() != 200 ? 1 : 0;
        if (isForeign) {
          lab.note(
              path + " " + id + " got status 200, signature " + answer.header("Response-Signature")
                  + (answer.complete ? ", complete, body:\n" : ", broken off, body:\n") + text);
        }
      }
    }
    lab.note(
        "requests " + REQUESTS + ", second answers sent " + spoiled.size() + " " + spoiled
            + ", whole own answers " + own + ", failed or broken off " + broken
            + ", with bytes of another answer " + foreign);
    if (lab.trouble && spoiled.isEmpty()) {
      lab.finish(2, "no second answer was sent");
    }
    lab.finish(foreign > 0 ? 1 : 0, foreign > 0 ? "bytes of another answer reached a caller" : "held");
  }

  /** Returns whether a stream has its own events only, all of them if it is complete. */
  private static boolean isOwn(String text, boolean complete) {
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < EVENTS; i++) {
      expected.append("id: ").append(i).append("\ndata: token-").append(i).append("\n\n");
    }
    return complete ? text.contentEquals(expected) : expected.toString().startsWith(text);
  }

  private static Lab.Behavior stutters(Lab lab, Map<String, String> spoiled) {
    AtomicInteger answers = new AtomicInteger();
    Map<Lab.EngineConnection, Lab.Message> formerRequests = new ConcurrentHashMap<>();
    Lab.Behavior sound = Lab.stream(EVENTS, 5, 2);
    AtomicReference<Lab.Engine> troubled = new AtomicReference<>();
    return (engine, connection, request) -> {
      // The first engine that gets a request is the one that stutters.
      troubled.compareAndSet(null, engine);
      if (troubled.get() != engine) {
        sound.handle(engine, connection, request);
        return;
      }
      Lab.Message former = formerRequests.put(connection, request);
      boolean spoils =
          lab.trouble && former != null && answers.incrementAndGet() % SPOILED_EVERY == 0
              && request.header("Last-Event-Id") == null;
      if (!spoils) {
        sound.handle(engine, connection, request);
        return;
      }
      Lab.readBody(connection.in, request, false);
      engine.run(request);
      spoiled.put(request.header("Attempt-Id"), "second answer to " + former.header("Attempt-Id"));
      List<String> events = new ArrayList<>();
      for (int i = 0; i < EVENTS; i++) {
        events.add("id: " + i + "\ndata: token-" + i + "\n\n");
      }
      String all = String.join("", events);
      connection.write(
          Lab.concat(
              Lab.answerHead(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"),
              Lab.bytes(Integer.toHexString(all.length()) + "\r")));
      Lab.sleep(PAUSE_MILLIS);
      String late = "id: 0\ndata: earlier-0\n\n";
      connection.write(
          Lab.concat(
              Lab.answerHead(former, 200, "Content-Type: text/event-stream\r\nContent-Length: " + late.length() + "\r\n"),
              Lab.bytes(late)));
      Lab.sleep(PAUSE_MILLIS);
      connection.write(Lab.bytes("\n" + all + "\r\n0\r\n\r\n"));
    };
  }
}
