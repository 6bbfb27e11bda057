/** The callers' side of the direct path. */
@NullMarked
package org.shallothold.gateway.forward.caller;

import org.jspecify.annotations.NullMarked;
