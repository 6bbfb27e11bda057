/**
 * Choice of a backend server for a request on the direct path, from the gateway's own open work,
 * its peers' news of theirs and what the servers' answers told.
 */
@NullMarked
package org.shallothold.core.placement;

import org.jspecify.annotations.NullMarked;
