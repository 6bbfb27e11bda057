package org.shallothold.core.config;

import java.util.List;

/**
 * A backend server as configured, with the address of the sidecar in front of it.
 *
 * @param id unique id
 * @param kind whether the server is a model engine or a plain service
 * @param address IP address and port of its sidecar, as {@code 127.0.0.1:7000}
 * @param failureDomain failure domain of the VM that the server runs on
 * @param models names of the models that a model engine serves; empty for a plain service
 * @param service name of the plain service that it offers; empty for a model engine
 * @param maxRunning maximum number of requests that run at the same time
 * @param maxWaiting maximum number of waiting requests, not counting one request per service class
 * @param checksFencing whether the server refuses commands with an old fencing number
 * @param draining whether operators have asked the server to accept no new work
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

  /** The kind of a backend server. */
  public enum Kind {
    /** A model engine that generates tokens. */
    ENGINE,
    /** A plain service, for example one for orders and stock. */
    SERVICE
  }

  /** Makes the list of models immutable. */
  public BackendServer {
    models = List.copyOf(models);
  }

  /** Returns a copy with the given draining flag, or this instance if the flag is unchanged. */
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
