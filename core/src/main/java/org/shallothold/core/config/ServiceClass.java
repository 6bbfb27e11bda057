package org.shallothold.core.config;

import java.util.List;

/**
 * A service class: its priority tier, its latency targets and the backend servers that serve it.
 *
 * @param name unique name
 * @param tier priority tier, from 0 (highest) to 3
 * @param firstTokenTargetMillis target for the time to the first token, in milliseconds
 * @param tokenIntervalTargetMillis target for the time between tokens, in milliseconds
 * @param answerTargetMillis target for the complete answer and the default deadline, in
 *     milliseconds
 * @param servers ids of the backend servers that may serve the class
 */
public record ServiceClass(
    String name,
    int tier,
    long firstTokenTargetMillis,
    long tokenIntervalTargetMillis,
    long answerTargetMillis,
    List<String> servers) {

  /** Number of priority tiers. */
  public static final int TIER_COUNT = 4;

  /** Makes the list of servers immutable. */
  public ServiceClass {
    servers = List.copyOf(servers);
  }
}
