/** Fleets of real processes on loopback, with the faults that scenarios and experiments need. */
@NullMarked
package org.shallothold.experiment.fleet;

import org.jspecify.annotations.NullMarked;
