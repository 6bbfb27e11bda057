/** Verdicts on whether a request ran, and reason codes. */
@NullMarked
package org.shallothold.core.verdict;

import org.jspecify.annotations.NullMarked;
