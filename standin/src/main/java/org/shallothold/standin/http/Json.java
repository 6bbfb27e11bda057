package org.shallothold.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Collection;
import java.util.function.LongPredicate;

/** JSON values of the stand-ins' interfaces. */
public final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns a new, empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns an array of the given texts. */
  public static ArrayNode texts(Collection<String> texts) {
    ArrayNode array = MAPPER.createArrayNode();
    texts.forEach(array::add);
    return array;
  }

  /** Returns an error document: {@code {"error": {"code", "message"}}}. */
  public static ObjectNode error(String code, String message) {
    ObjectNode document = object();
    document.putObject("error").put("code", code).put("message", message);
    return document;
  }

  /**
   * Returns the JSON object that the bytes hold.
   *
   * @throws RequestException with status 400 if they hold anything else
   */
  public static ObjectNode parseObject(byte[] bytes) {
    try {
      if (MAPPER.readTree(bytes) instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw RequestException.badRequest("the body is not JSON: " + e.getMessage());
    }
    throw RequestException.badRequest("the body must be a JSON object");
  }

  /**
   * Returns a whole number of an object, or the default if the field is absent or null.
   *
   * @throws RequestException with status 400 if it is no whole number or not allowed
   */
  public static long integer(
      ObjectNode object, String name, long defaultValue, LongPredicate allowed) {
    JsonNode value = object.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return defaultValue;
    }
    if (!value.canConvertToLong() || !value.isIntegralNumber() || !allowed.test(value.asLong())) {
      throw RequestException.badRequest(name + " is not an allowed whole number: " + value);
    }
    return value.asLong();
  }

  /** Returns the bytes of a value. */
  static byte[] bytes(JsonNode value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
