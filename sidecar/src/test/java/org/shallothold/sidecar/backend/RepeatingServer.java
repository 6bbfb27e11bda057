package org.shallothold.sidecar.backend;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntFunction;

/**
 * A backend server that gets two requests and responds to the first one again, whole or cut. It
 * closes its connections after it has responded to the second one, so that a client that waits for
 * the rest of a cut response fails at once.
 */
final class RepeatingServer implements AutoCloseable {

  private static final String CONTENT_LENGTH = "content-length:";

  private final ServerSocket listener;
  private final IntFunction<byte[]> responses;
  private final Moment moment;
  private final int length;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private int requests;

  /** When the additional response is sent. */
  enum Moment {
    WITH_FIRST_RESPONSE,
    WHILE_IDLE,
    AFTER_SECOND_REQUEST
  }

  /**
   * @param responses response by the number of the request, from 1
   * @param length number of bytes of the additional response that are sent
   */
  RepeatingServer(IntFunction<byte[]> responses, Moment moment, int length) throws IOException {
    this.responses = responses;
    this.moment = moment;
    this.length = length;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  URI url() {
    return URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/");
  }

  /** To be called when the client has received the first response. */
  synchronized void firstResponseReceived() {
    if (moment == Moment.WHILE_IDLE) {
      sendAdditional();
    }
  }

  /** Returns the number of requests received. */
  synchronized int requests() {
    return requests;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener is closed at the end of the test.
    }
  }

  private void serve(Socket socket) {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (readRequest(in)) {
        respond(socket.getOutputStream());
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static boolean readRequest(InputStream in) throws IOException {
    int bodyLength = 0;
    while (true) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int next = in.read();
      while (next >= 0 && next != '\n') {
        line.write(next);
        next = in.read();
      }
      if (next < 0) {
        return false;
      }
      String text = line.toString(StandardCharsets.ISO_8859_1).strip().toLowerCase(Locale.ROOT);
      if (text.startsWith(CONTENT_LENGTH)) {
        bodyLength = Integer.parseInt(text.substring(CONTENT_LENGTH.length()).strip());
      } else if (text.isEmpty()) {
        in.readNBytes(bodyLength);
        return true;
      }
    }
  }

  private synchronized void respond(OutputStream out) throws IOException {
    requests++;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(responses.apply(requests));
    if (requests == 1 && moment == Moment.WITH_FIRST_RESPONSE) {
      bytes.write(responses.apply(1), 0, length);
    }
    if (requests == 2 && moment == Moment.AFTER_SECOND_REQUEST) {
      sendAdditional();
    }
    out.write(bytes.toByteArray());
    out.flush();
    if (requests == 2) {
      closeConnections();
    }
  }

  /** Sends the additional response on the connection that carried the first request. */
  private void sendAdditional() {
    try {
      connections.getFirst().getOutputStream().write(responses.apply(1), 0, length);
    } catch (IOException e) {
      // The client has closed the connection already.
    }
  }

  private void closeConnections() {
    for (Socket connection : connections) {
      try {
        connection.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }
}
