package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.DoubleStream;

/**
 * The share of an engine's time that its running streams need for decode steps so that they finish
 * before their deadlines.
 *
 * <p>A decode step gives each running stream one token, so the streams don't add up: the engine has
 * to take as many steps as the neediest of them requires. One stream with a long output left must
 * not hold up all prefills, so the streams are combined by the root of the mean square of their
 * needs, which lies between their mean and the worst. The figures of several gateways can be
 * combined to the same result as if one gateway had all streams. Owned by one thread.
 */
public final class DecodeDemand {

  // With higher powers fewer streams miss their deadlines, but fewer prompts are prefilled in time.
  private static final double POWER = 2;
  private static final double MAX_NEED = 1;
  // Allowance for the way of the last events to the caller.
  private static final double DELIVERY_MILLIS = 60;
  // Streams are to finish earlier than at their deadlines by the time of a long prefill, which goes
  // on once it has begun.
  private static final double PREFILL_ALLOWANCE_MILLIS = 500;
  // Below this the allowance is used up, and the need grows no further.
  private static final double MIN_REMAINING_MILLIS = 100;
  // Peers send their open requests more than once a second; older updates are from a disconnected
  // peer.
  private static final long PEER_MAX_AGE_MILLIS = 1_500;

  private final Map<Long, RunningStream> streamsByRequest = new HashMap<>();
  private final Map<String, PeerDemand> peerDemands = new HashMap<>();

  /**
   * A stream of this gateway.
   *
   * @param output estimated length of its output
   * @param deadlineMillis time by which it has to finish
   * @param producedTokens tokens that have arrived; 0 before the first event
   */
  private record RunningStream(OutputEstimate output, long deadlineMillis, int producedTokens) {

    /** Returns whether it counts: it has started, and can still finish before its deadline. */
    private boolean counts(double stepMillis, long nowMillis) {
      return producedTokens > 0
          && decodeMillis(stepMillis) <= deadlineMillis - nowMillis - DELIVERY_MILLIS;
    }

    private double need(double stepMillis, long nowMillis) {
      double remainingMillis = deadlineMillis - nowMillis - PREFILL_ALLOWANCE_MILLIS;
      return Math.min(
          MAX_NEED, decodeMillis(stepMillis) / Math.max(MIN_REMAINING_MILLIS, remainingMillis));
    }

    private double decodeMillis(double stepMillis) {
      return output.remainingTokens(producedTokens) * stepMillis;
    }
  }

  /**
   * Demand of a peer's streams.
   *
   * @param share share of the engine's time, in [0, 1]
   * @param streams number of its streams
   * @param receivedMillis time at which its update arrived
   */
  private record PeerDemand(double share, int streams, long receivedMillis) {}

  private DecodeDemand() {}

  /** Returns the demand of an engine without streams. */
  public static DecodeDemand none() {
    return new DecodeDemand();
  }

  /**
   * Adds a stream that is sent to the engine. It counts from its first event.
   *
   * @param requestId id that this gateway gave the request
   * @param output estimated length of its output
   * @param deadlineMillis time by which it has to finish
   */
  public void add(long requestId, OutputEstimate output, long deadlineMillis) {
    streamsByRequest.put(requestId, new RunningStream(output, deadlineMillis, 0));
  }

  /**
   * Records how many tokens of a stream have arrived; does nothing if it has ended.
   *
   * @param requestId id that this gateway gave the request
   * @param tokens tokens from the start of the output, including those from earlier engines
   */
  public void recordProduced(long requestId, int tokens) {
    streamsByRequest.computeIfPresent(
        requestId,
        (id, stream) -> new RunningStream(stream.output(), stream.deadlineMillis(), tokens));
  }

  /** Removes a stream that has ended; does nothing if there is none. */
  public void remove(long requestId) {
    streamsByRequest.remove(requestId);
  }

  /** Replaces the demand of a peer's streams, a share in [0, 1]; one of 0 is not counted. */
  public void updatePeer(String peer, double share, int streams, long nowMillis) {
    if (share > 0 && streams > 0) {
      peerDemands.put(peer, new PeerDemand(Math.min(share, MAX_NEED), streams, nowMillis));
    } else {
      peerDemands.remove(peer);
    }
  }

  /** Removes the demand of a peer; does nothing if there is none. */
  public void removePeer(String peer) {
    peerDemands.remove(peer);
  }

  /**
   * Returns the share of the engine's time that the streams of this gateway need, in [0, 1].
   *
   * @param stepMillis duration of a decode step, in milliseconds; 0 if it isn't known
   * @param nowMillis current time
   */
  public double ownShare(double stepMillis, long nowMillis) {
    return ownTotal(stepMillis, nowMillis).share();
  }

  /**
   * Returns the share of the engine's time that the streams of this gateway and its peers need, in
   * [0, 1].
   *
   * @param stepMillis duration of a decode step, in milliseconds; 0 if it isn't known
   * @param nowMillis current time
   */
  public double share(double stepMillis, long nowMillis) {
    if (stepMillis <= 0) {
      return 0;
    }
    Total total = ownTotal(stepMillis, nowMillis);
    for (PeerDemand peer : peerDemands.values()) {
      if (nowMillis - peer.receivedMillis() <= PEER_MAX_AGE_MILLIS) {
        total = total.with(peer.share(), peer.streams());
      }
    }
    return total.share();
  }

  /** Sum of the powers of needs, and the number of streams that have them. */
  private record Total(double powers, int streams) {

    private Total with(double need, int addedStreams) {
      return new Total(powers + addedStreams * Math.pow(need, POWER), streams + addedStreams);
    }

    private double share() {
      return streams == 0 ? 0 : Math.pow(powers / streams, 1 / POWER);
    }
  }

  private Total ownTotal(double stepMillis, long nowMillis) {
    if (stepMillis <= 0) {
      return new Total(0, 0);
    }
    double[] needs =
        streamsByRequest.values().stream()
            .filter(stream -> stream.counts(stepMillis, nowMillis))
            .mapToDouble(stream -> stream.need(stepMillis, nowMillis))
            .toArray();
    return new Total(DoubleStream.of(needs).map(need -> Math.pow(need, POWER)).sum(), needs.length);
  }
}
