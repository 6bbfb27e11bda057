package org.shallothold.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** Reads the values of faults, where null and false both clear a fault. */
public final class FaultValues {

  private FaultValues() {}

  /** Returns a number of at least 0, or nothing if the fault is to be cleared. */
  public static OptionalLong number(String name, JsonNode value) {
    if (isCleared(value)) {
      return OptionalLong.empty();
    }
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw RequestException.badRequest(
          name + " must be a whole number of at least 0, or null: " + value);
    }
    return OptionalLong.of(value.asLong());
  }

  /** Returns a factor greater than 0, or nothing if the fault is to be cleared. */
  public static OptionalDouble factor(String name, JsonNode value) {
    if (isCleared(value)) {
      return OptionalDouble.empty();
    }
    if (!value.isNumber() || !(value.asDouble() > 0)) {
      throw RequestException.badRequest(
          name + " must be a number greater than 0, or null: " + value);
    }
    return OptionalDouble.of(value.asDouble());
  }

  /** Returns a rate of at least 0, or nothing if the fault is to be cleared. */
  public static OptionalDouble rate(String name, JsonNode value) {
    if (isCleared(value)) {
      return OptionalDouble.empty();
    }
    if (!value.isNumber() || !(value.asDouble() >= 0)) {
      throw RequestException.badRequest(
          name + " must be a number of at least 0, or null: " + value);
    }
    return OptionalDouble.of(value.asDouble());
  }

  /** Returns whether a fault is to be set. */
  public static boolean flag(String name, JsonNode value) {
    if (!value.isBoolean() && !value.isNull()) {
      throw RequestException.badRequest(name + " must be true, false or null: " + value);
    }
    return value.asBoolean();
  }

  /** Returns an exception for a fault that the stand-in doesn't have. */
  public static RequestException unknown(String name, Collection<String> known) {
    return RequestException.badRequest("unknown fault " + name + "; known: " + known);
  }

  private static boolean isCleared(JsonNode value) {
    return value.isNull() || (value.isBoolean() && !value.asBoolean());
  }
}
