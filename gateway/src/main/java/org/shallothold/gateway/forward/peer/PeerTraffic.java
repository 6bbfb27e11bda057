package org.shallothold.gateway.forward.peer;

import java.util.Locale;

/** Counts what a gateway sends to its peers. */
@FunctionalInterface
public interface PeerTraffic {

  /** Why a message was sent. */
  enum Cause {
    /** The state of the gateway, at regular intervals. */
    PERIODIC,
    /** A published revision changed. */
    ANNOUNCEMENT,
    /** Work or crash evidence changed. */
    CHANGE,
    /** Crash evidence of another gateway. */
    RELAY,
    /** A peer connected, or missed messages. */
    CONNECTION,
    /** Published items, and requests for them. */
    PUBLISHED,
    /** Permits, and requests for them. */
    PERMIT;

    /** Returns the name for metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What a part of a message is about. */
  enum Content {
    /** Open work at backend servers. */
    WORK,
    /** Prompt parts that engines have read. */
    PROMPT_PARTS,
    /** Addresses of other gateways, with their ages. */
    ADDRESSES,
    /** Evidence about parts that end engines. */
    CRASH_EVIDENCE,
    /** Measured speeds and loads, by service. */
    SERVICES,
    /** Published items. */
    ITEMS,
    /** Everything else, with the framing of the message. */
    OTHER;

    /** Returns the name for metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Whether a peer is in the gateway's own failure domain. */
  enum Distance {
    SAME_DOMAIN,
    OTHER_DOMAIN,
    /** The peer, of an older build, did not tell its failure domain. */
    UNKNOWN_DOMAIN;

    /** Returns the distance between two failure domains; empty names are unknown. */
    static Distance between(String ownDomain, String peerDomain) {
      if (ownDomain.isEmpty() || peerDomain.isEmpty()) {
        return UNKNOWN_DOMAIN;
      }
      return ownDomain.equals(peerDomain) ? SAME_DOMAIN : OTHER_DOMAIN;
    }

    /** Returns the name for metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Called for each part of each message that is sent.
   *
   * @param bytes size of the part, without the headers of TCP and IP
   */
  void sent(Cause cause, Content content, Distance distance, int bytes);
}
