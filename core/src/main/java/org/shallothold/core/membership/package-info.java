/** The platform's list of processes, and the election of those that watch the platform. */
@NullMarked
package org.shallothold.core.membership;

import org.jspecify.annotations.NullMarked;
