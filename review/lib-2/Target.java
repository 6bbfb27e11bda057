import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends requests whose path and query hold bytes above 127, unescaped. With TROUBLE=0 the
 * same paths are percent-encoded. An engine must get the client's path and query, or no request.
 */
final class Target {

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    lab.engine("models", 64, Lab.stream(5, 30, 5));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.startGateways(2);
    lab.awaitReady(20_000);

    List<String> sent = new ArrayList<>();
    String[][] requests = {
      {"GET", "/stock/amandes-grill\u00e9es"},
      {"GET", "/stock/lots?variety=Ferragn\u00e8s&grade=2"},
      {"POST", "/order/lots/Ferragn\u00e8s"},
      {"POST", "/order/lots?to=Qu\u00e9ven"},
    };
    for (String[] request : requests) {
      for (Lab.Gateway gateway : lab.gateways) {
        byte[] utf8 = request[1].getBytes(StandardCharsets.UTF_8);
        String target =
            lab.trouble ? new String(utf8, StandardCharsets.ISO_8859_1) : encoded(utf8);
        String id = Lab.hex();
        sent.add(id + " " + request[0] + " " + target);
        byte[] body = Lab.bytes(request[0].equals("POST") ? "{\"count\":1}" : "");
        String outcome;
        try (Lab.Client client = new Lab.Client(gateway.ip, gateway.front)) {
          client.send(Lab.request(request[0], target, id, "Deadline-Ms: 1000\r\n", body));
          outcome = client.answer().first;
        } catch (java.io.IOException e) {
          outcome = e.toString();
        }
        lab.note("sent " + id + " " + request[0] + " " + visible(target) + " answered " + outcome);
      }
    }
    Lab.sleep(500);
    int runs = 0;
    int changed = 0;
    for (Lab.Engine engine : lab.engines) {
      for (Lab.Run run : engine.runs) {
        String head = new String(run.head(), StandardCharsets.ISO_8859_1);
        String line = head.substring(0, head.indexOf(" HTTP/1.1"));
        boolean same = sent.contains(run.id() + " " + line);
        runs++;
        changed += same ? 0 : 1;
        lab.note(
            "run  " + run.id() + " " + visible(line) + " at " + run.engine()
                + (same ? "" : "  <- not the client's path and query"));
      }
    }
    lab.note("requests sent " + sent.size() + ", run " + runs + ", run with another path or query " + changed);
    if (!lab.trouble && runs < sent.size()) {
      lab.finish(2, "not all requests ran without the disruption");
    }
    lab.finish(changed > 0 ? 1 : 0, changed > 0 ? "path or query changed" : "held");
  }

  private static String encoded(byte[] target) {
    StringBuilder text = new StringBuilder();
    for (byte value : target) {
      text.append(value < 0 ? String.format("%%%02X", value & 0xff) : String.valueOf((char) value));
    }
    return text.toString();
  }

  private static String visible(String text) {
    StringBuilder shown = new StringBuilder();
    for (char value : text.toCharArray()) {
      shown.append(value > 126 ? String.format("\\x%02x", (int) value) : String.valueOf(value));
    }
    return shown.toString();
  }
}
