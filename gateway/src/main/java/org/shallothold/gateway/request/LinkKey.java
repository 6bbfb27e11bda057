package org.shallothold.gateway.request;

/**
 * Identifies the connection to a sidecar. A server whose address changes gets a new key; the
 * connection to the former address stays open until its last request ends.
 *
 * @param serverId id of the backend server
 * @param address address of its sidecar, as {@code 127.0.0.1:7001}
 */
public record LinkKey(String serverId, String address) {}
