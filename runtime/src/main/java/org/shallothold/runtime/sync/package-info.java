/** Keeps the configuration current from the platform and from peers. */
@NullMarked
package org.shallothold.runtime.sync;

import org.jspecify.annotations.NullMarked;
