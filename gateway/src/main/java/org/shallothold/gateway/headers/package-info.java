/** Limits on the header lines of requests, counted while a head is being read. */
@NullMarked
package org.shallothold.gateway.headers;

import org.jspecify.annotations.NullMarked;
