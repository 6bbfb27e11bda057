package org.shallothold.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * An engine and a plain service in one. What it does with a request stands in the request's field
 * or header {@code script}, as words: {@code toN} sends tokens up to index N of the whole answer,
 * {@code wait} waits for {@link #open}, {@code hang} waits without a sign of life, {@code done}
 * ends the answer; the others are faults.
 */
final class FakeBackend implements AutoCloseable {

  private static final long PAUSE_NANOS = 5_000_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  final List<JsonNode> completions = new CopyOnWriteArrayList<>();
  final List<JsonNode> commands = new CopyOnWriteArrayList<>();
  final Map<String, Integer> calls = new ConcurrentHashMap<>();
  final AtomicInteger brokenWrites = new AtomicInteger();
  final AtomicLong highestFencingNumber = new AtomicLong();

  volatile int loadStatus = 200;

  private final HttpServer server;
  private volatile boolean open;

  FakeBackend() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/v1/chat/completions", this::complete);
    server.createContext("/commands", this::command);
    server.createContext(
        "/load", exchange -> FakePlatform.answer(exchange, loadStatus, "{\"running\":7}"));
    server.createContext("/", this::call);
    server.start();
  }

  URI url() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/");
  }

  /** Ends every wait, also later ones. */
  void open() {
    open = true;
  }

  @Override
  public void close() {
    open();
    server.stop(0);
  }

  private void complete(HttpExchange exchange) throws IOException {
    JsonNode request = MAPPER.readTree(exchange.getRequestBody());
    completions.add(request);
    int index = request.path("resume_tokens").size();
    List<String> words = List.of(request.path("script").asText().split(" ", -1));
    if (words.getFirst().startsWith("status")) {
      FakePlatform.answer(exchange, Integer.parseInt(words.getFirst().substring(6)), "{}");
      return;
    }
    exchange.sendResponseHeaders(200, 0);
    try (exchange;
        OutputStream body = exchange.getResponseBody()) {
      for (String word : words) {
        index = stream(word, index, body);
      }
    } catch (IOException e) {
      brokenWrites.incrementAndGet();
    }
  }

  private int stream(String word, int index, OutputStream body) throws IOException {
    switch (word) {
      case "wait" -> await(body);
      case "hang" -> {
        while (!open) {
          pause();
        }
      }
      case "done" -> {
        event(body, "{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}");
        event(body, "[DONE]");
      }
      case "reason-only" ->
          event(body, "{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}");
      case "mark-only" -> event(body, "[DONE]");
      case "garbage" -> event(body, "{");
      case "close" -> {}
      default -> {
        for (int token = index; token < Integer.parseInt(word.substring(2)); token++) {
          event(body, "{\"choices\":[{\"delta\":{\"content\":\"k" + token + "\"}}]}");
        }
        return Math.max(index, Integer.parseInt(word.substring(2)));
      }
    }
    return index;
  }

  /** Writes comments while it waits, so that a closed connection is noticed. */
  private void await(OutputStream body) throws IOException {
    while (!open) {
      pause();
      body.write(": waiting\n".getBytes(StandardCharsets.UTF_8));
      body.flush();
    }
  }

  private void call(HttpExchange exchange) throws IOException {
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    calls.merge(key == null ? "none" : key, 1, Integer::sum);
    String script = exchange.getRequestHeaders().getFirst("script");
    while ("wait".equals(script) && !open) {
      pause();
    }
    if ("crash".equals(script)) {
      exchange.close();
    } else {
      FakePlatform.answer(
          exchange, 201, exchange.getRequestMethod() + " " + exchange.getRequestURI());
    }
  }

  private void command(HttpExchange exchange) throws IOException {
    int status = 200;
    if (exchange.getRequestMethod().equals("POST")) {
      JsonNode command = MAPPER.readTree(exchange.getRequestBody());
      commands.add(command);
      long number = command.path("fencing_number").asLong();
      if (number < highestFencingNumber.get()) {
        status = 409;
      } else {
        highestFencingNumber.accumulateAndGet(number, Math::max);
      }
    }
    FakePlatform.answer(
        exchange, status, "{\"highest_fencing_number\":" + highestFencingNumber + "}");
  }

  private static void event(OutputStream body, String data) throws IOException {
    body.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    body.flush();
  }

  private static void pause() {
    LockSupport.parkNanos(PAUSE_NANOS);
  }
}
