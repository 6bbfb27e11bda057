package org.shallothold.core.membership;

/**
 * A backend server as the platform lists it.
 *
 * @param id id of the server's current life, used in no other place
 * @param service name of its service
 * @param host IP address
 * @param port port
 * @param failureDomain failure domain of its VM
 * @param slots requests that it serves at once
 * @param leaving whether it takes no new work
 * @param startedMillis start of its current life, in milliseconds of the server's clock; 0 if not
 *     told. Only compared for equality
 */
public record ServerEntry(
    String id,
    String service,
    String host,
    int port,
    String failureDomain,
    int slots,
    boolean leaving,
    long startedMillis) {}
