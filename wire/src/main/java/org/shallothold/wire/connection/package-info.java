/**
 * Netty connections that carry {@link org.shallothold.wire.proto.Envelope} messages between
 * gateways, sidecars and operator tools, over TCP or mutual TLS.
 */
@NullMarked
package org.shallothold.wire.connection;

import org.jspecify.annotations.NullMarked;
