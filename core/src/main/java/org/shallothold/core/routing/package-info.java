/**
 * Selection of a backend server behind a sidecar: which servers of a service class a gateway
 * connects to, and which of them gets a request. The direct path, which reaches backend servers
 * without sidecars, selects servers in {@code org.shallothold.core.placement} and reads its routes
 * from {@code org.shallothold.core.route}.
 */
@NullMarked
package org.shallothold.core.routing;

import org.jspecify.annotations.NullMarked;
