/** Requests in flight: one thread owns them, their attempts, the servers and the limits. */
@NullMarked
package org.shallothold.gateway.request;

import org.jspecify.annotations.NullMarked;
