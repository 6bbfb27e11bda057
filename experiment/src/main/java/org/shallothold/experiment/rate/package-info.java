/** Measures what engines that state a rate get from several gateways. */
@NullMarked
package org.shallothold.experiment.rate;

import org.jspecify.annotations.NullMarked;
