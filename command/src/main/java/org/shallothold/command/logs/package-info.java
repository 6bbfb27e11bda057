/** Reads the processes' collected log lines. */
@NullMarked
package org.shallothold.command.logs;

import org.jspecify.annotations.NullMarked;
