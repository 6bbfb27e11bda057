/** A process's copy of what the platform publishes, and its exchange between processes. */
@NullMarked
package org.shallothold.core.publish;

import org.jspecify.annotations.NullMarked;
