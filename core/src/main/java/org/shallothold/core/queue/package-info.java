/** The waiting queue and the running slots of one backend server. */
@NullMarked
package org.shallothold.core.queue;

import org.jspecify.annotations.NullMarked;
