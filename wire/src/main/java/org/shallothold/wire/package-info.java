/** Protocol between gateways, sidecars and operator tools: messages and their Netty transport. */
@NullMarked
package org.shallothold.wire;

import org.jspecify.annotations.NullMarked;
