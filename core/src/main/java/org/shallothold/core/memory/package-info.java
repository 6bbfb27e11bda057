/** The bound on the memory that a process uses for buffered requests and responses. */
@NullMarked
package org.shallothold.core.memory;

import org.jspecify.annotations.NullMarked;
