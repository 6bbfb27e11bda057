/** Counters, gauges and histograms, exported in the Prometheus text format. */
@NullMarked
package org.shallothold.runtime.metrics;

import org.jspecify.annotations.NullMarked;
