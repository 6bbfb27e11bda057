package org.shallothold.scenarios.headers;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that each send some bytes on a connection of their own and wait until the gateway closes
 * it. They don't look at what it answers.
 */
final class Crowd {

  /** Far above any deadline of a request and of an idle connection, on a busy machine too. */
  static final int LONG_MILLIS = 90_000;

  private static final int POLL_MILLIS = 10;

  private final InetSocketAddress gateway;
  private final int patienceMillis;
  private final AtomicInteger leaving = new AtomicInteger();

  private Crowd(int port, int patienceMillis) {
    this.gateway = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    this.patienceMillis = patienceMillis;
  }

  /**
   * Lets all callers send at the same time, and waits until all are done.
   *
   * @param patienceMillis time without an answer after which a caller leaves, in milliseconds
   * @param patienceMillis time without an answer after which a caller leaves, in milliseconds
   * @param meanwhile called again and again until then
   * @return number of callers that left because the gateway neither answered nor closed
   */
  static int send(int port, List<byte[]> requests, int patienceMillis, Runnable meanwhile)
      throws InterruptedException {
    Crowd crowd = new Crowd(port, patienceMillis);
    List<Thread> callers = new ArrayList<>();
    for (byte[] request : requests) {
      callers.add(Thread.ofVirtual().start(() -> crowd.call(request)));
    }
    while (callers.stream().anyMatch(Thread::isAlive)) {
      meanwhile.run();
      Thread.sleep(POLL_MILLIS);
    }
    return crowd.leaving.get();
  }

  private void call(byte[] request) {
    try (Socket socket = open()) {
      socket.getOutputStream().write(request);
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (SocketTimeoutException e) {
      leaving.incrementAndGet();
    } catch (IOException e) {
      // The gateway may refuse the connection or close it.
    }
  }

  private Socket open() throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(patienceMillis);
    socket.connect(gateway, LONG_MILLIS);
    return socket;
  }

  /** Sends one request and returns the whole answer; the request must ask for a close after it. */
  static String ask(int port, String request) throws IOException {
    try (Socket socket = new Crowd(port, LONG_MILLIS).open()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
