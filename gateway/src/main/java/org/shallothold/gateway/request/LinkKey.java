package org.shallothold.gateway.request;

/**
 * Names a connection to a sidecar. A server whose address changed has a new key, and the connection
 * to its former address stays until its work is done.
 *
 * @param serverId id of the backend server
 * @param address address of its sidecar, as {@code 127.0.0.1:7001}
 */
public record LinkKey(String serverId, String address) {}
