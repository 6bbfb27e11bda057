package org.shallothold.gateway.http;

import java.net.InetSocketAddress;

/**
 * Settings of the callers' HTTP interface.
 *
 * @param listen address to listen on
 * @param maxBodyBytes largest body of a request, in bytes
 */
public record HttpOptions(InetSocketAddress listen, int maxBodyBytes) {}
