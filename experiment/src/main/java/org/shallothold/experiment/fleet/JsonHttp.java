package org.shallothold.experiment.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;

/** Small calls to the HTTP interfaces of processes. Thread-safe. */
public final class JsonHttp {

  /** Reads and writes JSON. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private JsonHttp() {}

  /** An answer: its status and its body as text. */
  public record Reply(int status, String body) {

    /** Returns the body as JSON; a missing node if it is none. */
    public JsonNode json() {
      try {
        return MAPPER.readTree(body);
      } catch (JsonProcessingException e) {
        return MAPPER.missingNode();
      }
    }
  }

  /** Returns a new JSON object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Calls an address; empty if the process doesn't answer. */
  public static Optional<Reply> call(String method, URI address, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(address)
            .timeout(TIMEOUT)
            .method(method, BodyPublishers.ofByteArray(body))
            .build();
    try {
      HttpResponse<String> response = CLIENT.send(request, BodyHandlers.ofString());
      return Optional.of(new Reply(response.statusCode(), response.body()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted during a call", e);
    }
  }

  /** Reads an address; empty if the process doesn't answer. */
  public static Optional<Reply> get(URI address) {
    return call("GET", address, new byte[0]);
  }

  /**
   * Sends a JSON document and returns the answer.
   *
   * @throws IllegalStateException if the process doesn't answer with status 200
   */
  public static JsonNode send(String method, URI address, JsonNode document) {
    try {
      return require(method, address, MAPPER.writeValueAsBytes(document));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  /** Like {@link #send}, with the bytes of a body. */
  static JsonNode require(String method, URI address, byte[] body) {
    Reply reply =
        call(method, address, body)
            .orElseThrow(() -> new IllegalStateException("no answer from " + address));
    if (reply.status() != 200) {
      throw new IllegalStateException(
          method + " " + address + ": status " + reply.status() + ", " + reply.body());
    }
    return reply.json();
  }
}
