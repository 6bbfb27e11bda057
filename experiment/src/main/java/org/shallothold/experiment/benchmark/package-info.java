/** JMH micro-benchmarks of the core's decisions; run by {@code bin/experiment benchmark}. */
@NullMarked
package org.shallothold.experiment.benchmark;

import org.jspecify.annotations.NullMarked;
