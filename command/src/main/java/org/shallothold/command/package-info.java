/** The operators' command. */
@NullMarked
package org.shallothold.command;

import org.jspecify.annotations.NullMarked;
