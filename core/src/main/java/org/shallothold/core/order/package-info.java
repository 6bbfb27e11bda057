/** Order tickets, and the ledger that makes each order run at most once. */
@NullMarked
package org.shallothold.core.order;

import org.jspecify.annotations.NullMarked;
