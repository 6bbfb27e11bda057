/** Interfaces that an adapter for a platform implements, so that a gateway can serve it. */
@NullMarked
package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.NullMarked;
