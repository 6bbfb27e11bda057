/** Request limits: the rate of each customer and the requests in flight in a gateway. */
@NullMarked
package org.shallothold.core.limit;

import org.jspecify.annotations.NullMarked;
