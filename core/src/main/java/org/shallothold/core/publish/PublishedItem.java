package org.shallothold.core.publish;

/**
 * One published item. The bytes are never changed by anyone.
 *
 * @param key key of the item
 * @param value bytes as published
 * @param revision revision of the platform's service at the item's last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedItem(String key, byte[] value, long revision) {}
