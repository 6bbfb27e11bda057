/** Decisions, state machines, values and verdicts, without input or output. */
@NullMarked
package org.shallothold.core;

import org.jspecify.annotations.NullMarked;
