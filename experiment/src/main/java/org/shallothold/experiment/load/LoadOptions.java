package org.shallothold.experiment.load;

/**
 * What a run of an experiment varies.
 *
 * @param setUp the deployment
 * @param seed of the workload
 * @param load offered tokens over the engines' capacity
 * @param burst factor on the bulk class in the middle third
 * @param routing policy of the gateways
 * @param queue policy of the sidecars' queues
 * @param maxPreemptions preemptions after which a request is preempted no more
 * @param fault the fault that strikes
 * @param seconds measured time
 */
public record LoadOptions(
    SetUp setUp,
    long seed,
    double load,
    double burst,
    String routing,
    String queue,
    int maxPreemptions,
    Fault fault,
    int seconds) {}
