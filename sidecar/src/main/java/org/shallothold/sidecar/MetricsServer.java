package org.shallothold.sidecar;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.shallothold.runtime.metrics.Metrics;

/** Serves /metrics and /health/live. Made once per process; has its own thread. */
final class MetricsServer implements AutoCloseable {

  private static final int BACKLOG = 16;

  private final HttpServer server;
  private final ExecutorService executor;

  private MetricsServer(HttpServer server, ExecutorService executor) {
    this.server = server;
    this.executor = executor;
  }

  /**
   * Binds the address and starts to serve.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  static MetricsServer start(InetSocketAddress address, Metrics metrics) {
    ExecutorService executor = Executors.newSingleThreadExecutor(DaemonThreads.named("metrics"));
    try {
      HttpServer server = HttpServer.create(address, BACKLOG);
      server.setExecutor(executor);
      server.createContext("/metrics", exchange -> answer(exchange, metrics.toPrometheusText()));
      server.createContext("/health/live", exchange -> answer(exchange, "ok\n"));
      server.start();
      return new MetricsServer(server, executor);
    } catch (IOException e) {
      executor.shutdownNow();
      throw new IllegalStateException("cannot listen on " + address, e);
    }
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }

  private static void answer(HttpExchange exchange, String text) throws IOException {
    try (exchange) {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "text/plain; version=0.0.4");
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
