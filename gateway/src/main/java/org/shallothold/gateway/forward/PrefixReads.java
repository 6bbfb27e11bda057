package org.shallothold.gateway.forward;

import java.util.ArrayList;
import java.util.List;

/**
 * Prompt parts that this gateway sent to engines since its last peer update. Bounded: beyond {@code
 * MAX_READS} parts, further ones are dropped until the next update. Owned by the event loop.
 */
final class PrefixReads {

  // A few times the parts that are sent between two peer updates under the heaviest load.
  private static final int MAX_READS = 512;

  private List<Read> pendingReads = new ArrayList<>();

  /**
   * A prompt part that an engine reads or already has in its prefix cache.
   *
   * @param chainHash hash of the prompt from its start to the end of the part
   * @param tokens tokens of the part
   */
  record Read(String serverId, long chainHash, int tokens) {}

  /** Adds a prompt part; drops it if the buffer is full. */
  void add(String serverId, long chainHash, int tokens) {
    if (pendingReads.size() < MAX_READS) {
      pendingReads.add(new Read(serverId, chainHash, tokens));
    }
  }

  /** Removes and returns all parts. */
  List<Read> drain() {
    List<Read> drained = pendingReads;
    pendingReads = new ArrayList<>();
    return drained;
  }
}
