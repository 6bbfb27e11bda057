package org.shallothold.core.queue;

/**
 * The properties of a request that the scheduler uses for its decisions. Immutable.
 *
 * @param id unique within the process
 * @param serviceClass name of the service class
 * @param tier tier of the service class; 0 is the highest priority
 * @param customer name of the customer
 * @param deadlineMillis deadline on the scheduler's clock, in milliseconds
 * @param repeatable whether it may be stopped and started again; false for an order
 */
public record ScheduledRequest(
    long id,
    String serviceClass,
    int tier,
    String customer,
    long deadlineMillis,
    boolean repeatable) {}
