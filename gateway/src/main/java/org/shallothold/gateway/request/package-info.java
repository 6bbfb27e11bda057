/** Routing of requests in flight. One thread owns requests, attempts, servers and limits. */
@NullMarked
package org.shallothold.gateway.request;

import org.jspecify.annotations.NullMarked;
