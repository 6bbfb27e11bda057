/** Decisions of a process that is about to end. */
@NullMarked
package org.shallothold.core.drain;

import org.jspecify.annotations.NullMarked;
