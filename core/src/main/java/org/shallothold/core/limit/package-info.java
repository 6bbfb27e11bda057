/** Limits per customer. */
@NullMarked
package org.shallothold.core.limit;

import org.jspecify.annotations.NullMarked;
