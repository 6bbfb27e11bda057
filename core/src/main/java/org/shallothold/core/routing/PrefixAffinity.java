package org.shallothold.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records the server that last received each prompt prefix. This is only an estimate of the
 * engine's prefix cache, since the engine may have evicted the prefix. Holds a bounded number of
 * prefixes and drops the least recently used. Not thread-safe; confined to one thread.
 */
public final class PrefixAffinity {

  private final Map<Long, String> servers;

  private PrefixAffinity(int capacity) {
    this.servers =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Creates an empty instance that holds up to the given number of prefixes. */
  public static PrefixAffinity ofCapacity(int capacity) {
    return new PrefixAffinity(capacity);
  }

  /** Records that a prefix was sent to a server. */
  public void recordServer(long prefixHash, String serverId) {
    servers.put(prefixHash, serverId);
  }

  /** Returns whether a server was the last to receive a prefix; false if the prefix is unknown. */
  public boolean isLastServer(long prefixHash, String serverId) {
    return serverId.equals(servers.get(prefixHash));
  }
}
