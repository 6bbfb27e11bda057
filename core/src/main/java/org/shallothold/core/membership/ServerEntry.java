package org.shallothold.core.membership;

/**
 * A backend server as the platform lists it.
 *
 * @param id id of the server's current instance, not used for any other server
 * @param service name of the service
 * @param host IP address
 * @param port TCP port
 * @param failureDomain failure domain of the VM
 * @param slots number of requests that the server serves at once
 * @param leaving whether the server accepts no new requests
 * @param startedMillis start time of the current instance, in milliseconds of the server's clock; 0
 *     if unknown. Identifies the instance and is only compared for equality
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
