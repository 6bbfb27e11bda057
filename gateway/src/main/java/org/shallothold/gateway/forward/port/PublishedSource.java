package org.shallothold.gateway.forward.port;

import io.netty.channel.EventLoop;
import java.util.List;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;

/** Reads the items that the platform publishes and watches them for changes. */
public interface PublishedSource {

  /** Lifetime of items on a platform that doesn't state it, in milliseconds. */
  long DEFAULT_ITEM_LIFETIME_MILLIS = 4_000;

  /** Receives the items. Called on the event loop given to {@link #start}. */
  interface Listener {

    /**
     * Called with all items of a topic, after the first read and whenever the source has to read
     * the topic again. A position of a new era means that the platform was restored from an older
     * copy of its items.
     *
     * @param asOf position up to which every change is included; items may be newer
     */
    void itemsRead(PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf);

    /**
     * Called after each successful watch, with the changes since the last call for the topic. Both
     * lists are empty if the watch ended without a change. An item that a read returned already may
     * be passed on again. Always of the era in which the topic was last read.
     *
     * @param asOf position up to which every change was passed on
     */
    void itemsChanged(
        PublishedTopic topic,
        List<PublishedItem> changed,
        List<Removal> removed,
        PublishedPosition asOf);

    /** Called when a read or a watch failed; the source tries again by itself. */
    void readFailed(PublishedTopic topic, String reason);
  }

  /**
   * Removal of an item.
   *
   * @param key key of the removed item
   * @param position position of the removal
   */
  record Removal(String key, PublishedPosition position) {}

  /**
   * Returns the time after which the platform removes the item of an owner that is silent, in
   * milliseconds.
   */
  default long itemLifetimeMillis() {
    return DEFAULT_ITEM_LIFETIME_MILLIS;
  }

  /**
   * Starts to read and watch all topics, until the process ends. Returns at once.
   *
   * @param eventLoop event loop on which the source runs and calls the listener
   */
  void start(EventLoop eventLoop, Listener listener);
}
