package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.Nullable;

/**
 * Values that the gateway adds to the header fields of a request to a backend server.
 *
 * @param serverId id of the intended server; a server with another id rejects the request
 * @param timeoutMillis time left until the caller's deadline, in milliseconds
 * @param urgencyLevel urgency from 0, the most urgent, to {@link HeaderTranslation#urgencyLevels} -
 *     1
 * @param customer name of the customer that the caller belongs to; null if there is none
 * @param lastEventId id of the event after which the stream resumes; -1 to run the request from the
 *     start
 * @param cacheSourceAddress host and port of an engine from which the server fetches the KV cache
 *     of prompt parts that it lacks; null if it prefills them itself
 */
public record BackendRequestMetadata(
    String serverId,
    long timeoutMillis,
    int urgencyLevel,
    @Nullable String customer,
    long lastEventId,
    @Nullable String cacheSourceAddress) {}
