package org.shallothold.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.shallothold.standin.http.LoopbackServer;
import org.shallothold.standin.http.ServerLoop;
import org.shallothold.standin.http.Standin;
import org.shallothold.standin.options.Arguments;
import org.shallothold.standin.options.OptionSpec;

/** A stand-in in the test's process and a client that calls it. Closed by the test. */
public final class StandinClient implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int POLL_MILLIS = 5;

  /** Ends a wait for an answer that never comes, since join() ignores the test's timeout. */
  private static final int ANSWER_TIMEOUT_SECONDS = 30;

  private final HttpClient http = HttpClient.newHttpClient();
  private final LoopbackServer server;

  private StandinClient(LoopbackServer server) {
    this.server = server;
  }

  /** Creates a stand-in's behaviour. */
  public interface Factory {

    /** Returns the behaviour. */
    Standin create(Arguments arguments, ServerLoop loop);
  }

  /** An answer: its status and its JSON body. */
  public record Answer(int status, JsonNode body) {}

  /** Starts a stand-in on a free port. */
  public static StandinClient start(
      List<OptionSpec> options, Factory factory, String... arguments) {
    Arguments parsed = Arguments.parse(options, arguments);
    return new StandinClient(LoopbackServer.start(0, loop -> factory.create(parsed, loop)));
  }

  /** Reads JSON. */
  public static ObjectNode json(String text) {
    try {
      return (ObjectNode) MAPPER.readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sends a GET request. */
  public Answer get(String path) {
    return getLater(path).join();
  }

  /** Sends a GET request without waiting for the answer. */
  public CompletableFuture<Answer> getLater(String path) {
    return send(request(path).GET().build());
  }

  /** Sends a POST request. */
  public Answer post(String path, String body, String... headers) {
    return postLater(path, body, headers).join();
  }

  /** Sends a POST request without waiting for the answer. */
  public CompletableFuture<Answer> postLater(String path, String body, String... headers) {
    return send(method("POST", path, body, headers));
  }

  /** Sends a request with any method. */
  public Answer call(String method, String path, String body) {
    return send(method(method, path, body)).join();
  }

  /** Sends a POST request; returns the data of its server-sent events as they arrive. */
  public Stream<String> events(String path, String body) {
    return http.sendAsync(method("POST", path, body), BodyHandlers.ofLines())
        .orTimeout(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join()
        .body()
        .filter(line -> !line.isEmpty())
        .map(line -> line.substring("data: ".length()));
  }

  /** Reads a path until its JSON is as wanted; the test's timeout bounds the wait. */
  public JsonNode await(String path, Predicate<JsonNode> wanted) {
    while (true) {
      JsonNode body = get(path).body();
      if (wanted.test(body)) {
        return body;
      }
      try {
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Closes the connections of all requests in flight, as a caller that goes away does. */
  public void disconnect() {
    http.shutdownNow();
  }

  /** Returns another client of the same stand-in. */
  public StandinClient another() {
    return new StandinClient(server);
  }

  @Override
  public void close() {
    http.shutdownNow();
    server.close();
  }

  private CompletableFuture<Answer> send(HttpRequest request) {
    Function<HttpResponse<String>, Answer> toAnswer =
        response -> new Answer(response.statusCode(), json(response.body()));
    return http.sendAsync(request, BodyHandlers.ofString())
        .orTimeout(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .thenApply(toAnswer);
  }

  private HttpRequest method(String method, String path, String body, String... headers) {
    HttpRequest.Builder request = request(path).method(method, BodyPublishers.ofString(body));
    return (headers.length == 0 ? request : request.headers(headers)).build();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
  }
}
