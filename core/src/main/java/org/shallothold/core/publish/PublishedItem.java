package org.shallothold.core.publish;

/**
 * An item that the platform publishes. The value is shared and must not be modified.
 *
 * @param key key of the item
 * @param value value as published, in bytes
 * @param revision revision of the platform's service at which the item last changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedItem(String key, byte[] value, long revision) {}
