package org.shallothold.core.limit;

/** What {@link AdmissionGate} decided on an arrival. */
public sealed interface Admission {

  /** The request takes a free place. */
  record Admitted() implements Admission {}

  /** The request takes the place of another, which must be given up. */
  record Displacing(long requestNumber) implements Admission {}

  /** The request finds no place. */
  record Refused() implements Admission {}
}
