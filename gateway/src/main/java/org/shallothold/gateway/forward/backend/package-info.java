/** Connections from the gateway to backend servers. */
@NullMarked
package org.shallothold.gateway.forward.backend;

import org.jspecify.annotations.NullMarked;
