package org.shallothold.gateway.forward.port;

import io.netty.channel.EventLoop;
import java.util.List;
import org.shallothold.core.publish.PublishedItem;

/** Reads and watches what the platform publishes. */
public interface PublishedSource {

  /** Takes what was read; called on the event loop given to {@link #start}. */
  interface Listener {

    /** All items of a topic were read. */
    void reading(PublishedTopic topic, List<PublishedItem> items, long asOf);

    /** Items changed or were removed since the last call. */
    void changes(
        PublishedTopic topic, List<PublishedItem> changed, List<Removal> removed, long asOf);

    /** A call failed. */
    void failed(PublishedTopic topic, String reason);
  }

  /**
   * An item that is gone.
   *
   * @param revision revision of the removal
   */
  record Removal(String key, long revision) {}

  /** Starts to read all topics, for as long as the process lives. */
  void start(EventLoop eventLoop, Listener listener);
}
