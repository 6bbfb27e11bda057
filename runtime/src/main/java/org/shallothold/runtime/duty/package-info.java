/** Single-threaded event processing, each thread fed by a bounded ring buffer. */
@NullMarked
package org.shallothold.runtime.duty;

import org.jspecify.annotations.NullMarked;
