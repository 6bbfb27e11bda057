package org.shallothold.core.limit;

import java.util.List;

/** What {@link AdmissionGate} decided on an arrival. */
public sealed interface Admission {

  /** The request takes free places, or the one that its class has beyond the bound. */
  record Admitted() implements Admission {}

  /** The request takes the places of others, which must be given up. */
  record Displacing(List<Long> requestNumbers) implements Admission {
    /** Copies the list. */
    public Displacing {
      requestNumbers = List.copyOf(requestNumbers);
    }
  }

  /** The request finds no place. */
  record Refused() implements Admission {}
}
