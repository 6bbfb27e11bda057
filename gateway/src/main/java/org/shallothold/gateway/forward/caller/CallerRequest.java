package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request as it was read.
 *
 * @param head request line and header fields
 * @param body the whole body; whoever takes the request releases it
 * @param arrivedNanos when the head was read, by the steady clock
 */
public record CallerRequest(HttpRequest head, ByteBuf body, long arrivedNanos) {}
