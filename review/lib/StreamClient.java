import java.io.IOException;
import java.net.Socket;

/** A client that asks for one stream and tells what it got. */
final class StreamClient implements Runnable {

  private final Lab lab;
  private final Gateway gateway;
  final String attemptId;
  volatile boolean ended;
  volatile int status;
  volatile boolean looksComplete;
  volatile int lastEvent;

  StreamClient(Lab lab, Gateway gateway) {
    this.lab = lab;
    this.gateway = gateway;
    this.attemptId = lab.newAttemptId();
  }

  @Override
  public void run() {
    try (Socket socket = new Socket(gateway.host, gateway.frontPort)) {
      socket.setSoTimeout(10_000);
      String fields =
          "Model: m\r\nToken-Usage: 40,500\r\nPrompt-Prefix: 5c1e07a2:20,e%s:20\r\nContent-Length: 2\r\n"
              .formatted(attemptId.substring(1));
      Http.write(
          socket, lab.head("POST", "/chat/1", attemptId, 10_000, fields), Http.bytes("{}"));
      Http.Message answer = Http.readResponse(socket.getInputStream());
      if (answer != null) {
        status = answer.status();
        looksComplete = answer.complete();
        for (String line : answer.text().split("\n")) {
          if (line.startsWith("id: ")) {
            lastEvent = Integer.parseInt(line.substring(4));
          }
        }
      }
      lab.record.add(
          "client: %s gets %s, last event %d, %s"
              .formatted(
                  attemptId,
                  answer == null ? "nothing" : answer.startLine(),
                  lastEvent,
                  looksComplete ? "complete (last chunk received)" : "broken off"));
    } catch (IOException e) {
      lab.record.add("client: " + attemptId + ": " + e);
    }
    ended = true;
  }

  /** Returns whether a success looks complete although pieces at its end are missing. */
  boolean isCutButLooksComplete(int events) {
    return ended && status == 200 && looksComplete && lastEvent < events;
  }
}
