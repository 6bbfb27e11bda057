/** Generated load on a fleet, and what came of it. */
@NullMarked
package org.shallothold.experiment.load;

import org.jspecify.annotations.NullMarked;
