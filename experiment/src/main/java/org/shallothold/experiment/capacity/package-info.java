/** What each process costs, measured at several sizes, for docs/CAPACITY.md. */
@NullMarked
package org.shallothold.experiment.capacity;

import org.jspecify.annotations.NullMarked;
