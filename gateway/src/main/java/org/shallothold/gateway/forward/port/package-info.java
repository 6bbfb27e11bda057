/** What the direct path needs from a platform; implemented by an adapter. */
@NullMarked
package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.NullMarked;
