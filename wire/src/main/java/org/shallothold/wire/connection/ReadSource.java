package org.shallothold.wire.connection;

import java.util.function.Supplier;

/**
 * A connection that bytes are read from, as logs and metrics name it.
 *
 * @param kind kind of the process at the other end
 * @param name id or address of that process
 * @param request id of the request that the connection carries or carried last; empty if unknown
 */
public record ReadSource(String kind, Supplier<String> name, Supplier<String> request) {}
