package org.shallothold.core.crash;

import java.util.List;

/**
 * Evidence that gateways tell each other. Receivers may get it in any order and repeatedly.
 *
 * @param suspicions parts of requests that engines had hardly begun to answer when they ended
 * @param successes parts of requests that engines answered
 */
public record CrashStatements(List<PartSuspicion> suspicions, List<PartSuccess> successes) {

  /** Returns whether there is nothing to tell. */
  public boolean isEmpty() {
    return suspicions.isEmpty() && successes.isEmpty();
  }
}
