/**
 * Choice of a backend server for each request on the direct path, based on the gateway's own open
 * requests, the updates of its peers and the reports in the servers' answers.
 */
@NullMarked
package org.shallothold.core.placement;

import org.jspecify.annotations.NullMarked;
