package org.shallothold.core.limit;

import java.util.List;

/** Decision of {@link AdmissionGate} about a new request. */
public sealed interface Admission {

  /**
   * The request is admitted: enough permits were free, or it is the only request of its class,
   * which is admitted beyond the capacity.
   */
  record Admitted() implements Admission {}

  /**
   * The request is admitted and displaces others, whose permits are released already.
   *
   * @param requestNumbers numbers of the displaced requests, which the caller must end
   */
  record Displacing(List<Long> requestNumbers) implements Admission {
    /** Makes an immutable copy of the list. */
    public Displacing {
      requestNumbers = List.copyOf(requestNumbers);
    }
  }

  /** The request is refused: not enough permits are free or can be taken by displacement. */
  record Refused() implements Admission {}
}
