/**
 * The configuration of the direct path: how a request's host and path map to a service, which
 * customers may send it, and how urgent it is. The choice of one backend server of the service is
 * made in {@code org.shallothold.core.placement}; {@code org.shallothold.core.routing} is not used
 * on the direct path.
 */
@NullMarked
package org.shallothold.core.route;

import org.jspecify.annotations.NullMarked;
