package org.shallothold.core.queue;

/**
 * A request as the queue sees it. Immutable.
 *
 * @param id unique within the process
 * @param serviceClass name of its class
 * @param tier priority of its class, 0 is the highest
 * @param customer name of its customer
 * @param deadlineMillis time of its deadline on the scheduler's clock, in milliseconds
 * @param repeatable whether it may be stopped and started again; false for an order
 */
public record Work(
    long id,
    String serviceClass,
    int tier,
    String customer,
    long deadlineMillis,
    boolean repeatable) {}
