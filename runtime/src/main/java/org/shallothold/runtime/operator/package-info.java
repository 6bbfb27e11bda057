/** Answers to the operators' command. */
@NullMarked
package org.shallothold.runtime.operator;

import org.jspecify.annotations.NullMarked;
