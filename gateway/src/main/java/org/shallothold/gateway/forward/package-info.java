/** Forwards callers' HTTP requests directly to backend servers, without sidecars. */
@NullMarked
package org.shallothold.gateway.forward;

import org.jspecify.annotations.NullMarked;
