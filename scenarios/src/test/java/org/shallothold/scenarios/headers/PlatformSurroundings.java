package org.shallothold.scenarios.headers;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jspecify.annotations.Nullable;

/**
 * A small stand-in of the platform's store, and one of a backend server that answers ordinary
 * requests at once and all others never.
 */
final class PlatformSurroundings implements AutoCloseable {

  /** Path of requests that the server answers. */
  static final String ORDINARY_PATH = "/plain/ordinary";

  /** Path of requests that end with their deadline. */
  static final String UNANSWERED_PATH = "/plain/unanswered";

  /** Deadline of a request, and time after which an idle connection is closed, in milliseconds. */
  private static final int TIMEOUT_MILLIS = 4_000;

  private static final long WATCH_MILLIS = 500;
  private static final String REQUEST_ID = "attempt-id:";

  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpServer store;
  private final ServerSocket server;

  private PlatformSurroundings() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    server = new ServerSocket(0, 1_024, loopback);
    store = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
    store.setExecutor(threads);
    store.createContext("/-/kv-range", this::range);
    store.createContext("/-/kv-watch", PlatformSurroundings::watch);
  }

  static PlatformSurroundings start() throws IOException {
    PlatformSurroundings surroundings = new PlatformSurroundings();
    surroundings.store.start();
    surroundings.threads.execute(surroundings::accept);
    return surroundings;
  }

  int storePort() {
    return store.getAddress().getPort();
  }

  private void range(HttpExchange exchange) throws IOException {
    boolean servers = exchange.getRequestURI().toString().contains("servers");
    respond(
        exchange,
        "{\"Items\":[%s],\"MorePages\":false,\"AsOf\":10}"
            .formatted(servers ? serverItem() : item("op/config", configuration())));
  }

  private static void watch(HttpExchange exchange) throws IOException {
    try {
      Thread.sleep(WATCH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    respond(exchange, "{\"events\":[],\"AsOf\":10}");
  }

  private static void respond(HttpExchange exchange, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static String configuration() {
    return """
        {"Version":1,
        "Routes":[{"Name":"plain","Host":"gateway","Prefix":"/plain/","Kind":"unsafe","TimeoutMs":%1$d,
        "TargetLatencyMs":100,"Priority":0,"MaxAttempts":1,"Service":"desk"}],
        "Services":[{"Name":"desk","ConnectionLimit":1000}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":%1$d,
        "IdleTimeoutMs":%1$d}}
        """
        .formatted(TIMEOUT_MILLIS);
  }

  private String serverItem() {
    return item(
        "servers/desk-1",
        """
        {"Service":"desk","Address":"127.0.0.1:%d","Zone":"test","Version":"v1","Slots":1000,
        "State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1}
        """
            .formatted(server.getLocalPort()));
  }

  private static String item(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return "{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":9}".formatted(key, encoded);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        threads.execute(() -> serve(connection));
      } catch (IOException e) {
        // The server is closed.
      }
    }
  }

  private static void serve(Socket connection) {
    try (connection) {
      InputStream input = new BufferedInputStream(connection.getInputStream());
      for (String line = readLine(input); line != null; line = readLine(input)) {
        boolean ordinary = line.contains(ORDINARY_PATH);
        String id = readHead(input);
        if (ordinary) {
          connection
              .getOutputStream()
              .write(
                  """
                  HTTP/1.1 200 OK\r
                  Attempt-Id:%s\r
                  Response-Signature: signed\r
                  Instance-Load: 1,0,1000\r
                  Content-Length: 4\r
                  \r
                  done"""
                      .formatted(id)
                      .getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /** Reads the header lines and returns the request's id. */
  private static String readHead(InputStream input) throws IOException {
    String id = "";
    String line = readLine(input);
    while (line != null && !line.isEmpty()) {
      if (line.regionMatches(true, 0, REQUEST_ID, 0, REQUEST_ID.length())) {
        id = line.substring(REQUEST_ID.length());
      }
      line = readLine(input);
    }
    return id;
  }

  private static @Nullable String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next >= 0; next = input.read()) {
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    store.stop(0);
    server.close();
    threads.shutdownNow();
  }
}
