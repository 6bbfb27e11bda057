package org.shallothold.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The behaviour of one outside system. Called only on its server's thread, which answers {@code
 * /faults} with the two methods for faults.
 */
public interface Standin {

  /**
   * Answers a request, now or later.
   *
   * @throws RequestException if the request is to be answered with an error
   */
  void handle(Exchange exchange);

  /**
   * Sets or clears a fault.
   *
   * @param value the fault's value; null and false clear it
   * @throws RequestException with status 400 if the name is unknown or the value not allowed
   */
  void applyFault(String name, JsonNode value);

  /** Returns the faults in force. */
  ObjectNode faults();

  /** Sets or clears faults in order; those that the document doesn't name stay as they are. */
  default void applyFaults(ObjectNode document) {
    document.properties().forEach(fault -> applyFault(fault.getKey(), fault.getValue()));
  }
}
