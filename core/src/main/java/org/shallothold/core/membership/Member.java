package org.shallothold.core.membership;

/**
 * A VM in the platform's list.
 *
 * @param processId id of the process that runs on the VM
 * @param role role of the process
 * @param failureDomain failure domain of the VM
 * @param leaving whether the VM is about to be removed
 */
public record Member(String processId, Role role, String failureDomain, boolean leaving) {

  /** Role of a process. */
  public enum Role {
    /** Receives the requests of callers. */
    GATEWAY,
    /** Runs in front of one backend server; its process id is the id of the server. */
    SIDECAR
  }
}
