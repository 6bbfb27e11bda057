package org.shallothold.core.config;

import java.util.List;

/**
 * A service class: its priority, its targets and the backend servers that it may reach.
 *
 * @param name unique name
 * @param tier priority, 0 (highest) to 3
 * @param firstTokenTargetMillis target for the time to the first token, in milliseconds
 * @param tokenIntervalTargetMillis target for the time between tokens, in milliseconds
 * @param answerTargetMillis target for the whole answer and default deadline, in milliseconds
 * @param servers ids of the backend servers that the class may reach
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

  /** Copies the list. */
  public ServiceClass {
    servers = List.copyOf(servers);
  }
}
