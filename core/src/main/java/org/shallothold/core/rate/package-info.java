/** Request rates that backend servers state for all gateways together, and their division. */
@NullMarked
package org.shallothold.core.rate;

import org.jspecify.annotations.NullMarked;
