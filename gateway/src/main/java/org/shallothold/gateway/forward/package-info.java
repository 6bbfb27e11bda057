/** Forwards callers' HTTP requests to backend servers directly, without a sidecar between. */
@NullMarked
package org.shallothold.gateway.forward;

import org.jspecify.annotations.NullMarked;
