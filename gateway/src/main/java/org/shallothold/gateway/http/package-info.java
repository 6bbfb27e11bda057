/** Callers' HTTP interface on Ratpack. */
@NullMarked
package org.shallothold.gateway.http;

import org.jspecify.annotations.NullMarked;
