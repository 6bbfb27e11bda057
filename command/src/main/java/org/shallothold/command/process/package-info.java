/** Subcommands that ask running processes. */
@NullMarked
package org.shallothold.command.process;

import org.jspecify.annotations.NullMarked;
