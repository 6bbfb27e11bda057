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
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A platform in memory. */
final class FakePlatform implements AutoCloseable {

  private static final Pattern QUERY = Pattern.compile("after=(\\d+)&wait_ms=(-?\\d+)");

  private final HttpServer server;
  private final List<String> patches = new ArrayList<>();
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
    synchronized (patches) {
      patches.add(
          "{\"base\":%d,\"author\":\"test\",\"time\":\"now\",\"reason\":\"test\",\"set\":%s}"
              .formatted(patches.size(), set));
      patches.notifyAll();
    }
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
    Matcher query = QUERY.matcher(exchange.getRequestURI().getQuery());
    if (!query.matches()) {
      answer(exchange, 400, "{}");
      return;
    }
    int after = Integer.parseInt(query.group(1));
    StringBuilder entries = new StringBuilder();
    synchronized (patches) {
      try {
        if (after >= patches.size() && Long.parseLong(query.group(2)) > 0) {
          patches.wait(Math.min(200, Long.parseLong(query.group(2))));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      for (int index = after; index < patches.size(); index++) {
        byte[] body = patches.get(index).getBytes(StandardCharsets.UTF_8);
        entries
            .append(index == after ? "" : ",")
            .append(
                "{\"position\":%d,\"kind\":\"patch\",\"body\":\"%s\"}"
                    .formatted(index + 1, Base64.getEncoder().encodeToString(body)));
      }
    }
    answer(exchange, 200, "{\"entries\":[" + entries + "]}");
  }

  private static void answer(HttpExchange exchange, int status, String text) throws IOException {
    try (exchange) {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
