package org.shallothold.standin.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The behaviour of one outside system. Called only on its server's thread. */
public interface Standin {

  /**
   * Answers a request, now or later.
   *
   * @throws RequestException if the request is to be answered with an error
   */
  void handle(Exchange exchange);

  /**
   * Sets or clears faults; those that the document doesn't name stay as they are.
   *
   * @throws RequestException with status 400 if a name is unknown or a value not allowed
   */
  void applyFaults(ObjectNode faults);
}
