package org.shallothold.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;

/**
 * A response as the caller parses it.
 *
 * @param status HTTP status
 * @param text text of the answer received so far
 * @param done whether the response marks the answer as complete
 * @param code error code; empty if there is none
 * @param verdict verdict of the error; empty if there is none
 */
record SeenAnswer(int status, String text, boolean done, String code, String verdict) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static SeenAnswer of(HttpResponse<String> response) {
    boolean stream =
        response.headers().firstValue("content-type").orElse("").startsWith("text/event-stream");
    if (!stream) {
      JsonNode body = json(response.body());
      JsonNode choice = body.path("choices").path(0);
      return new SeenAnswer(
          response.statusCode(),
          choice.path("message").path("content").asText(),
          choice.path("finish_reason").isTextual(),
          body.path("error").path("code").asText(),
          body.path("error").path("verdict").asText());
    }
    StringBuilder text = new StringBuilder();
    boolean done = false;
    JsonNode error = MAPPER.missingNode();
    for (String line : response.body().lines().toList()) {
      if (line.equals("data: [DONE]")) {
        done = true;
      } else if (line.startsWith("data: ")) {
        JsonNode event = json(line.substring("data: ".length()));
        text.append(event.path("choices").path(0).path("delta").path("content").asText());
        error = event.has("error") ? event.path("error") : error;
      }
    }
    return new SeenAnswer(
        response.statusCode(),
        text.toString(),
        done,
        error.path("code").asText(),
        error.path("verdict").asText());
  }

  static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("not JSON: " + text, e);
    }
  }
}
