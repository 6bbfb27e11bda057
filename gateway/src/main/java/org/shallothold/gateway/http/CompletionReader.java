package org.shallothold.gateway.http;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.ShallotholdException;
import org.shallothold.gateway.request.Call;

/** Reads the body of a completion request; stateless. */
final class CompletionReader {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Expected length of an answer without a bound, for comparing servers by outstanding work. */
  private static final int DEFAULT_EXPECTED_TOKENS = 256;

  private static final int MOST_EXPECTED_TOKENS = 1_000_000;

  /** Start of the prompt that is taken as its prefix; longer than most systems' instructions. */
  private static final int PREFIX_CHARACTERS = 512;

  private CompletionReader() {}

  /**
   * Returns the completion that a body asks for.
   *
   * @throws ShallotholdException if the body is malformed
   */
  static Call.Completion read(byte[] body) {
    JsonNode node = parse(body);
    JsonNode model = node.path("model");
    if (!model.isTextual() || model.textValue().isEmpty()) {
      throw malformed("'model' must be a text");
    }
    JsonNode messages = node.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw malformed("'messages' must be an array with at least one message");
    }
    JsonNode stream = node.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      throw malformed("'stream' must be true or false");
    }
    JsonNode choices = node.path("n");
    if (!choices.isMissingNode() && !choices.isNull() && choices.asInt() != 1) {
      throw malformed("'n' must be 1; one answer is generated per request");
    }
    return new Call.Completion(
        model.textValue(),
        ByteString.copyFrom(body),
        stream.asBoolean(),
        node.path("stream_options").path("include_usage").asBoolean(),
        expectedTokens(node),
        prefixHash(model.textValue(), messages));
  }

  static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (!node.isObject()) {
        throw malformed("the body must be a JSON object");
      }
      return node;
    } catch (JacksonException e) {
      throw malformed("the body is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new IllegalStateException("reading from memory failed", e);
    }
  }

  static ShallotholdException malformed(String message) {
    return ShallotholdException.of(ReasonCode.MALFORMED_REQUEST, message);
  }

  private static int expectedTokens(JsonNode node) {
    JsonNode bound =
        node.has("max_completion_tokens")
            ? node.path("max_completion_tokens")
            : node.path("max_tokens");
    return bound.isIntegralNumber()
        ? Math.clamp(bound.longValue(), 1, MOST_EXPECTED_TOKENS)
        : DEFAULT_EXPECTED_TOKENS;
  }

  private static long prefixHash(String model, JsonNode messages) {
    StringBuilder start = new StringBuilder(model).append('\n');
    for (JsonNode message : messages) {
      start.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      start.append(content.isTextual() ? content.textValue() : content.toString()).append('\n');
      if (start.length() >= PREFIX_CHARACTERS) {
        break;
      }
    }
    start.setLength(Math.min(start.length(), PREFIX_CHARACTERS));
    CRC32C checksum = new CRC32C();
    checksum.update(start.toString().getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
