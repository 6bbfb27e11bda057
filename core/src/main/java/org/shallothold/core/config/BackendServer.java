package org.shallothold.core.config;

import java.util.List;

/**
 * A backend server and the sidecar before it.
 *
 * @param id unique id
 * @param kind what the server is
 * @param address IP address and port of its sidecar, as {@code 127.0.0.1:7000}
 * @param failureDomain failure domain of its VM
 * @param models models that a model engine serves; empty for a plain service
 * @param service plain service that it offers; empty for a model engine
 * @param maxRunning requests that may run at once
 * @param maxWaiting requests that may wait, apart from one seat for each class
 * @param checksFencing whether the server refuses commands with an old fencing number
 * @param draining whether the operators want it to take no new work
 */
public record BackendServer(
    String id,
    Kind kind,
    String address,
    String failureDomain,
    List<String> models,
    String service,
    int maxRunning,
    int maxWaiting,
    boolean checksFencing,
    boolean draining) {

  /** What a backend server is. */
  public enum Kind {
    /** A model engine that generates tokens. */
    ENGINE,
    /** A plain service such as order and stock. */
    SERVICE
  }

  /** Copies the list. */
  public BackendServer {
    models = List.copyOf(models);
  }

  /** Returns this server with another draining mark, or this if it has that mark. */
  public BackendServer withDraining(boolean newDraining) {
    return newDraining == draining
        ? this
        : new BackendServer(
            id,
            kind,
            address,
            failureDomain,
            models,
            service,
            maxRunning,
            maxWaiting,
            checksFencing,
            newDraining);
  }
}
