package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request of a caller.
 *
 * @param head request line and header fields
 * @param body the whole body, perhaps empty; released by the {@link CallerService} that accepts the
 *     request
 * @param arrivedNanos value of {@link System#nanoTime} when the head was read
 */
public record CallerRequest(HttpRequest head, ByteBuf body, long arrivedNanos) {}
