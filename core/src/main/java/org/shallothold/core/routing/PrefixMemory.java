package org.shallothold.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which server last took a prompt prefix. Bounded; owned by one thread. It is a guess:
 * the engine may have dropped the prefix since.
 */
public final class PrefixMemory {

  private final Map<Long, String> servers;

  private PrefixMemory(int capacity) {
    this.servers =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Returns an empty memory that keeps the given number of prefixes. */
  public static PrefixMemory ofCapacity(int capacity) {
    return new PrefixMemory(capacity);
  }

  /** Notes that a server took a prefix. */
  public void took(long prefixHash, String serverId) {
    servers.put(prefixHash, serverId);
  }

  /** Returns whether a server was the last to take a prefix. */
  public boolean isCached(long prefixHash, String serverId) {
    return serverId.equals(servers.get(prefixHash));
  }
}
