package org.shallothold.gateway.forward;

import java.util.ArrayList;
import java.util.List;

/** Prompt parts that engines read for this gateway since the last news to peers. Bounded. */
final class PrefixReads {

  // A few times the parts read between two rounds of news under the heaviest load measured.
  private static final int MAX_READS = 512;

  private List<Read> reads = new ArrayList<>();

  record Read(String serverId, long chainHash, int tokens) {}

  void add(String serverId, long chainHash, int tokens) {
    if (reads.size() < MAX_READS) {
      reads.add(new Read(serverId, chainHash, tokens));
    }
  }

  List<Read> takeAll() {
    List<Read> taken = reads;
    reads = new ArrayList<>();
    return taken;
  }
}
