/** Retry budgets, and the tracking of the attempts at a request. */
@NullMarked
package org.shallothold.core.retry;

import org.jspecify.annotations.NullMarked;
