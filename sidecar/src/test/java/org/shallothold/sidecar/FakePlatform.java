package org.shallothold.sidecar;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

/** A platform in memory. */
final class FakePlatform implements AutoCloseable {

  private static final long WATCH_NANOS = 20_000_000;

  private final HttpServer server;
  private final List<String> patches = new CopyOnWriteArrayList<>();
  private volatile String members = "{\"members\":[]}";

  FakePlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/members", exchange -> answer(exchange, 200, members));
    server.createContext("/config/snapshot", exchange -> answer(exchange, 404, "{}"));
    server.createContext("/config/entries", this::entries);
    server.start();
  }

  URI url() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/");
  }

  /** Appends a patch whose base is the number of patches before it. */
  void publish(String set) {
    patches.add(
        "{\"base\":%d,\"author\":\"test\",\"time\":\"now\",\"reason\":\"test\",\"set\":%s}"
            .formatted(patches.size(), set));
  }

  void listAsLeaving(String serverId) {
    members =
        "{\"members\":[{\"server_id\":\"%s\",\"role\":\"sidecar\",\"state\":\"leaving\"}]}"
            .formatted(serverId);
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void entries(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getQuery();
    int after = Integer.parseInt(query.replaceAll("after=(\\d+)&.*", "$1"));
    if (after >= patches.size() && !query.endsWith("wait_ms=0")) {
      LockSupport.parkNanos(WATCH_NANOS);
    }
    List<String> entries = new ArrayList<>();
    for (int position = after + 1; position <= patches.size(); position++) {
      byte[] body = patches.get(position - 1).getBytes(StandardCharsets.UTF_8);
      entries.add(
          "{\"position\":%d,\"kind\":\"patch\",\"body\":\"%s\"}"
              .formatted(position, Base64.getEncoder().encodeToString(body)));
    }
    answer(exchange, 200, "{\"entries\":[" + String.join(",", entries) + "]}");
  }

  static void answer(HttpExchange exchange, int status, String text) throws IOException {
    try (exchange) {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
