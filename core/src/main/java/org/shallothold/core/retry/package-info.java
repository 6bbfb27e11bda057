/** Budgets and evidence of repeated attempts. */
@NullMarked
package org.shallothold.core.retry;

import org.jspecify.annotations.NullMarked;
