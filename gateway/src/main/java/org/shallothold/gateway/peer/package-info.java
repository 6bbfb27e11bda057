/** Connections of a gateway to sidecars and from the operators' command. */
@NullMarked
package org.shallothold.gateway.peer;

import org.jspecify.annotations.NullMarked;
