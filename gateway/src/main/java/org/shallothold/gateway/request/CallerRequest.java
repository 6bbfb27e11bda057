package org.shallothold.gateway.request;

import org.shallothold.core.config.ServiceClass;

/**
 * A caller's request after its checks.
 *
 * @param requestId id given to the caller
 * @param number number in this incarnation, from 1
 * @param customer name of the customer
 * @param serviceClass class in which the request runs
 * @param deadlineMillis time allowed for the whole answer, from now, in milliseconds
 * @param call what to do
 */
public record CallerRequest(
    String requestId,
    long number,
    String customer,
    ServiceClass serviceClass,
    long deadlineMillis,
    Call call) {}
