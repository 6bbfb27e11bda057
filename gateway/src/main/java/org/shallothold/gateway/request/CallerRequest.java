package org.shallothold.gateway.request;

import org.shallothold.core.config.ServiceClass;

/**
 * A caller's request that passed validation.
 *
 * @param requestId request id returned to the caller
 * @param number sequence number within this incarnation of the gateway, from 1
 * @param customer name of the customer
 * @param serviceClass service class of the request
 * @param deadlineMillis time allowed for the whole answer, from arrival, in milliseconds
 * @param call the requested operation
 */
public record CallerRequest(
    String requestId,
    long number,
    String customer,
    ServiceClass serviceClass,
    long deadlineMillis,
    Call call) {}
