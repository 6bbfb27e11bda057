/** Connections to sidecars and to the operators' command. */
@NullMarked
package org.shallothold.gateway.peer;

import org.jspecify.annotations.NullMarked;
