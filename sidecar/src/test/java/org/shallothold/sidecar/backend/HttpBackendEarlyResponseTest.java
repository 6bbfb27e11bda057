package org.shallothold.sidecar.backend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.wire.proto.Header;
import org.shallothold.wire.proto.ServiceCall;

/** A backend server that responds before it has read a request, or with no real status. */
class HttpBackendEarlyResponseTest {

  // More than the sockets between client and server hold.
  private static final int BODY_BYTES = 16 * 1024 * 1024;
  private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  @SuppressWarnings("NullAway.Init")
  private ServerSocket server;

  /** How the server ends the connection, with the rest of the request unread. */
  private enum End {
    RESET,
    CLOSE,
    HALF_CLOSE_THEN_RESET
  }

  @BeforeEach
  void bind() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    threads.shutdownNow();
  }

  /** Guards against the part of a response of which the rest was reset during the upload. */
  @ParameterizedTest
  @CsvSource({
    "RESET, 0",
    "RESET, 60",
    "CLOSE, 0",
    "CLOSE, 60",
    "HALF_CLOSE_THEN_RESET, 0",
    "HALF_CLOSE_THEN_RESET, 60"
  })
  void responseThatEndsDuringTheUploadIsNotComplete(End end, long pauseMillis) {
    threads.execute(() -> respond("HTTP/1.1 200 OK\r\n\r\npart", end, pauseMillis));
    String outcome = call(BODY_BYTES);
    assertTrue(outcome.startsWith("failed"), outcome);
  }

  /** Guards against passing on a status that no response can have. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "0"})
  void statusThatIsNoneIsAFailure(String status) {
    threads.execute(
        () -> respond("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody", End.CLOSE, 60));
    String outcome = call(0);
    assertTrue(outcome.startsWith("failed"), outcome);
  }

  private void respond(String response, End end, long pauseMillis) {
    try (Socket connection = server.accept()) {
      InputStream input = connection.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) input.read());
      }
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(pauseMillis);
      switch (end) {
        case RESET -> connection.setSoLinger(true, 0);
        case CLOSE -> {}
        case HALF_CLOSE_THEN_RESET -> {
          connection.shutdownOutput();
          Thread.sleep(60);
          connection.setSoLinger(true, 0);
        }
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private String call(int bodyBytes) {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    URI url =
        URI.create(
            "http://"
                + server.getInetAddress().getHostAddress()
                + ":"
                + server.getLocalPort()
                + "/");
    BackendRun run =
        HttpBackend.of(url, HttpClients.createSingleUse(1_000, threads), threads)
            .call(
                ServiceCall.newBuilder()
                    .setMethod("POST")
                    .setPath("orders")
                    .setBody(ByteString.copyFrom(new byte[bodyBytes]))
                    .build(),
                new BackendListener() {
                  @Override
                  public void tokens(List<String> tokens) {}

                  @Override
                  public void finished(String finishReason) {}

                  @Override
                  public void answered(int status, List<Header> headers, ByteString body) {
                    outcome.complete("answered " + status + " " + body.toStringUtf8());
                  }

                  @Override
                  public void failed(BackendFailure failure) {
                    outcome.complete("failed " + failure);
                  }
                });
    String result = outcome.join();
    run.cancel();
    return result;
  }
}
