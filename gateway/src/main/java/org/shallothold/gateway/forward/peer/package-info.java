/** Exchange of state between gateways. */
@NullMarked
package org.shallothold.gateway.forward.peer;

import org.jspecify.annotations.NullMarked;
