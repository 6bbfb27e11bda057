/** Choice of the backend server for a request. */
@NullMarked
package org.shallothold.core.routing;

import org.jspecify.annotations.NullMarked;
