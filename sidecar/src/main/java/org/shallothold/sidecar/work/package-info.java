/** The state machine of the sidecar: submissions, running work, orders and draining. */
@NullMarked
package org.shallothold.sidecar.work;

import org.jspecify.annotations.NullMarked;
