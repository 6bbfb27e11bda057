package org.shallothold.runtime.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Registry of the metrics of one process. Thread-safe. */
public final class Metrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private Metrics() {}

  /** Returns an empty registry. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Registers and returns a counter; the name includes its unit. */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Registers and returns a gauge; the name includes its unit. */
  public Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Registers and returns a histogram of durations; bucket bounds are in seconds. */
  public Histogram secondsHistogram(
      String name, String help, double[] upperBoundsSeconds, String... labels) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(upperBoundsSeconds)
        .labelNames(labels)
        .register(registry);
  }

  /** Returns the current values of all metrics in the Prometheus text format. */
  public String toPrometheusText() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(output, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("cannot write metrics to a memory buffer", e);
    }
    return output.toString(StandardCharsets.UTF_8);
  }
}
