package org.shallothold.gateway.http;

import java.net.InetSocketAddress;

/**
 * Settings of the callers' HTTP interface.
 *
 * @param listen address to listen on
 * @param maxHeaderLines largest number of header lines of a request
 * @param maxBodyBytes largest body of a request, in bytes
 */
public record HttpOptions(InetSocketAddress listen, int maxHeaderLines, int maxBodyBytes) {}
