/** The process beside a backend server that owns its waiting queue and its orders. */
@NullMarked
package org.shallothold.sidecar;

import org.jspecify.annotations.NullMarked;
