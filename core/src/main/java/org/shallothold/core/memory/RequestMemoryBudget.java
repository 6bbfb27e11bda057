package org.shallothold.core.memory;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that callers' requests occupy together, from their first byte until they are
 * answered. When a request would exceed it, holders are shed in this order: large ones before
 * others, among these the ones that have not been sent to a server, then by size (in powers of
 * two), then those whose caller's address holds the most. A request that would itself be the next
 * to go is refused, so that what is there stays. Large requests get only a part of the budget, so
 * that ordinary ones always find room.
 *
 * <p>Thread-safe. Holders are called by the thread that needs the memory.
 */
public final class RequestMemoryBudget {

  /** Above the memory that a request of 16 KiB with lines of usual length occupies. */
  static final long LARGE_BYTES = 128 * 1024;

  private static final int LARGE_SHARE_PERCENT = 75;

  private static final Comparator<Standing> SHEDDING_ORDER =
      Comparator.comparing(Standing::large)
          .thenComparing(Standing::notSent)
          .thenComparing(Standing::sizeClass)
          .thenComparing(Standing::addressBytes);

  private final long limitBytes;
  private final Set<Reservation> reservations = new HashSet<>();
  private final Map<Object, Long> bytesByAddress = new HashMap<>();
  private long usedBytes;
  private long peakBytes;
  private long refusedCount;
  private long shedCount;

  /** A caller's connection, whose requests occupy the memory of a reservation. */
  public interface Holder {

    /** Returns whether the request that occupies the memory may have run at a server. */
    boolean mayHaveRun();

    /**
     * Gives up requests. The reservation is empty before the call; the holder may {@linkplain
     * Reservation#occupy occupy} a smaller part again.
     */
    void shed();
  }

  /** What decides which holder is shed first. */
  private record Standing(boolean large, boolean notSent, int sizeClass, long addressBytes) {}

  private RequestMemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns a budget of which nothing is used.
   *
   * @throws IllegalArgumentException if the limit is not positive
   */
  public static RequestMemoryBudget of(long limitBytes) {
    if (limitBytes <= 0) {
      throw new IllegalArgumentException("the limit must be positive, not " + limitBytes);
    }
    return new RequestMemoryBudget(limitBytes);
  }

  /**
   * Returns an empty reservation for the requests of a connection.
   *
   * @param address address of the caller, compared by {@code equals}
   */
  public Reservation reserve(Object address, Holder holder) {
    return new Reservation(address, holder);
  }

  /** Returns the number of bytes that may be used. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the number of bytes in use. */
  public synchronized long usedBytes() {
    return usedBytes;
  }

  /** Returns the highest number of bytes that were in use at a time. */
  public synchronized long peakBytes() {
    return peakBytes;
  }

  /** Returns how often a reservation was not enlarged for lack of memory. */
  public synchronized long refusedCount() {
    return refusedCount;
  }

  /** Returns how often a holder was shed to make room for another. */
  public synchronized long shedCount() {
    return shedCount;
  }

  /** The part of the budget that the requests of one connection use. */
  public final class Reservation {
    private final Object address;
    private final Holder holder;
    private long bytes;

    private Reservation(Object address, Holder holder) {
      this.address = address;
      this.holder = holder;
    }

    /** Returns the number of bytes reserved. */
    public long bytes() {
      synchronized (RequestMemoryBudget.this) {
        return bytes;
      }
    }

    /**
     * Changes the size. To make room, other holders are shed; if this one would be the next to go,
     * the size stays as it is.
     *
     * @return whether the reservation has the new size
     */
    public boolean resize(long newBytes) {
      synchronized (RequestMemoryBudget.this) {
        while (newBytes > bytes && usedBytes - bytes + newBytes > limitFor(newBytes)) {
          Optional<Reservation> next = nextToShed(newBytes);
          if (next.isEmpty()) {
            refusedCount++;
            return false;
          }
          shedCount++;
          next.get().setBytes(0);
          next.get().holder.shed();
        }
        setBytes(newBytes);
        return true;
      }
    }

    /** Sets the size of what exists already, even if the limit is exceeded. */
    public void occupy(long newBytes) {
      synchronized (RequestMemoryBudget.this) {
        setBytes(newBytes);
      }
    }

    /** Returns the memory to the budget; has no effect if that was done before. */
    public void close() {
      occupy(0);
    }

    private long limitFor(long newBytes) {
      return newBytes > LARGE_BYTES ? limitBytes * LARGE_SHARE_PERCENT / 100 : limitBytes;
    }

    /** Returns the holder that is to be shed before this one with its new size. */
    private Optional<Reservation> nextToShed(long newBytes) {
      Standing own = standing(newBytes);
      return reservations.stream()
          .filter(other -> other != this)
          .max(Comparator.comparing(other -> other.standing(other.bytes), SHEDDING_ORDER))
          .filter(other -> SHEDDING_ORDER.compare(other.standing(other.bytes), own) > 0);
    }

    private Standing standing(long size) {
      return new Standing(
          size > LARGE_BYTES,
          !holder.mayHaveRun(),
          Long.SIZE - Long.numberOfLeadingZeros(size),
          bytesByAddress.getOrDefault(address, 0L) - bytes + size);
    }

    private void setBytes(long newBytes) {
      long change = newBytes - bytes;
      usedBytes += change;
      peakBytes = Math.max(peakBytes, usedBytes);
      if (bytesByAddress.merge(address, change, Long::sum) == 0) {
        bytesByAddress.remove(address);
      }
      bytes = newBytes;
      if (newBytes == 0) {
        reservations.remove(this);
      } else {
        reservations.add(this);
      }
    }
  }
}
