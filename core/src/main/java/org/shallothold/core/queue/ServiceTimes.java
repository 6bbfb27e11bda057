package org.shallothold.core.queue;

import java.util.LinkedHashMap;
import java.util.Map;

/** Learns how long requests hold a slot, for each class. Owned by the scheduler's thread. */
final class ServiceTimes {

  // Follows a change of the backend server's speed within about ten answers.
  private static final double WEIGHT_OF_NEWEST = 0.1;
  private static final int MAX_CLASSES = 256;

  private final Map<String, Double> means =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_CLASSES;
        }
      };
  private double overall;

  /** Notes the slot time of a request that ended by itself. */
  void learn(String serviceClass, double millis) {
    means.merge(serviceClass, millis, ServiceTimes::blend);
    overall = overall == 0 ? Math.max(1, millis) : blend(overall, millis);
  }

  /** Returns the mean of a class, or of all if it is not known; 0 before the first answer. */
  double mean(String serviceClass) {
    return means.getOrDefault(serviceClass, overall);
  }

  /** Returns the mean of all classes; 0 before the first answer. */
  double overall() {
    return overall;
  }

  private static double blend(double old, double newest) {
    return old + WEIGHT_OF_NEWEST * (newest - old);
  }
}
