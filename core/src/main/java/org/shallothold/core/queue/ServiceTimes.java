package org.shallothold.core.queue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Moving averages of the slot time of requests, by service class and overall. Owned by the
 * scheduler's thread.
 */
final class ServiceTimes {

  // Adapts to a change of the backend server's speed within about ten answers.
  private static final double NEWEST_SAMPLE_WEIGHT = 0.1;
  private static final int MAX_CLASSES = 256;

  private final Map<String, Double> meansByClass =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_CLASSES;
        }
      };
  private double overallMillis;

  /** Adds the slot time of a request that ended by itself, in milliseconds. */
  void add(String serviceClass, double millis) {
    meansByClass.merge(serviceClass, millis, ServiceTimes::movingAverage);
    overallMillis = overallMillis == 0 ? Math.max(1, millis) : movingAverage(overallMillis, millis);
  }

  /**
   * Returns the mean slot time of a class in milliseconds, or the overall mean if the class has
   * none; 0 before the first answer.
   */
  double meanMillis(String serviceClass) {
    return meansByClass.getOrDefault(serviceClass, overallMillis);
  }

  /** Returns the mean slot time of all classes in milliseconds; 0 before the first answer. */
  double overallMillis() {
    return overallMillis;
  }

  private static double movingAverage(double oldMean, double newestSample) {
    return oldMean + NEWEST_SAMPLE_WEIGHT * (newestSample - oldMean);
  }
}
