/** Messages between the system's own processes and their Netty transport. */
@NullMarked
package org.shallothold.wire;

import org.jspecify.annotations.NullMarked;
