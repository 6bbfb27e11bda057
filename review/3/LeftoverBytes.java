import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A faulty engine sends additional bytes after one complete response: the beginning of another one.
 * The gateway uses the connection again, and reads these bytes and the next response as one. An
 * order that failed is a success for its caller.
 */
final class LeftoverBytes {

  // One answer of at least 34 is spoiled, which is x = 0.03.
  private static final int SOUND_ORDERS = 60;
  private static final String ADDITIONAL_BYTES = "HTTP/1.1 200 OK";

  private static final Map<String, Integer> STATUS_BY_ATTEMPT = new ConcurrentHashMap<>();
  private static Socket spoiledConnection;
  private static boolean nextOrdersFail;
  private static boolean spoiled;

  public static void main(String[] arguments) {
    Lab.main(arguments[0], LeftoverBytes::run);
  }

  private static boolean run(Lab lab) throws Exception {
    Engine first = lab.engine("i-7f3a91c2", "orders");
    Engine second = lab.engine("i-02d9e6b4", "orders");
    for (Engine engine : List.of(first, second)) {
      engine.handler = (request, socket) -> answer(lab, engine, request, socket);
    }
    lab.store.put(
        "op/config",
        new Config(7).service("orders").route("/orders/", "unsafe", "orders", 5_000, 1).json());
    lab.store.put("servers/" + first.id, first.entry("ready", 1));
    lab.store.put("servers/" + second.id, second.entry("ready", 1));
    List<Gateway> gateways = lab.gateways(2);
    boolean broken = sendOrders(lab, gateways, SOUND_ORDERS);
    setNextOrdersFail();
    broken |= sendOrders(lab, gateways, 10);
    return broken;
  }

  private static synchronized void setNextOrdersFail() {
    nextOrdersFail = true;
  }

  private static synchronized void answer(
      Lab lab, Engine engine, Http.Message request, Socket socket)
      throws IOException, InterruptedException {
    Thread.sleep(43);
    String id = request.field("Attempt-Id");
    // After the spoiled answer, one order fails: with the disruption the next one on its
    // connection, without it the next one.
    boolean fails = spoiled && (socket == spoiledConnection || !lab.trouble);
    if (fails && nextOrdersFail) {
      nextOrdersFail = false;
      STATUS_BY_ATTEMPT.put(id, 500);
      lab.record.add(engine.id + ": answers 500 to " + id);
      engine.answer(request, socket, 500, "the order failed");
      return;
    }
    STATUS_BY_ATTEMPT.put(id, 200);
    engine.answer(request, socket, 200, engine.id + " done");
    if (nextOrdersFail && !spoiled) {
      spoiled = true;
      spoiledConnection = socket;
      if (lab.trouble) {
        Http.write(socket, ADDITIONAL_BYTES, new byte[0]);
        lab.record.add(engine.id + ": sends additional bytes after its answer to " + id);
      }
    }
  }

  /** Returns whether a caller got a signed answer with another status than the engine gave. */
  private static boolean sendOrders(Lab lab, List<Gateway> gateways, int orders) throws Exception {
    boolean broken = false;
    for (int i = 0; i < orders; i++) {
      String id = lab.newAttemptId();
      Http.Message answer =
          lab.call(
              gateways.get(i % gateways.size()),
              "POST",
              "/orders/" + i,
              id,
              "{\"item\":\"kernels\"}");
      Integer given = STATUS_BY_ATTEMPT.get(id);
      if (answer != null
          && given != null
          && answer.field("Response-Signature") != null
          && answer.status() != given) {
        lab.record.add(
            "%s: the engine gave %d, the caller got %d with its signature"
                .formatted(id, given, answer.status()));
        broken = true;
      }
      Thread.sleep(20);
    }
    return broken;
  }
}
