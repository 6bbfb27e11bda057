/** Scheduling of requests to one backend server: waiting queue, slots, preemption and the floor. */
@NullMarked
package org.shallothold.core.queue;

import org.jspecify.annotations.NullMarked;
