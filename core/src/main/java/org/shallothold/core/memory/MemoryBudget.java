package org.shallothold.core.memory;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that all buffers of a process use together. When a buffer would exceed it, the
 * largest buffer that can be given up is shed, so that responses without end don't displace the
 * many small ones. Created once per process; not thread-safe.
 */
public final class MemoryBudget {

  private final long limitBytes;
  private final Set<Reservation> sheddable = new HashSet<>();
  private long usedBytes;
  private long peakBytes;
  private long shedCount;

  /** Gives up a buffer, whose reservation is closed. */
  public interface Holder {

    /** Called when the memory of this buffer is needed for others. */
    void shed();
  }

  private MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns a budget of which nothing is used.
   *
   * @throws IllegalArgumentException if the limit is not positive
   */
  public static MemoryBudget of(long limitBytes) {
    if (limitBytes <= 0) {
      throw new IllegalArgumentException("the limit must be positive, not " + limitBytes);
    }
    return new MemoryBudget(limitBytes);
  }

  /** Returns an empty reservation for a buffer that can't be given up. */
  public Reservation reserve() {
    return new Reservation(Optional.empty());
  }

  /** Returns an empty reservation for a buffer that its holder gives up when it is shed. */
  public Reservation reserveSheddable(Holder holder) {
    return new Reservation(Optional.of(holder));
  }

  /** Returns the number of bytes that may be used. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the highest number of bytes that were in use at a time. */
  public long peakBytes() {
    return peakBytes;
  }

  /** Returns how often a buffer was given up or refused for lack of memory. */
  public long shedCount() {
    return shedCount;
  }

  /** The part of the budget that one buffer uses. */
  public final class Reservation {
    private final Optional<Holder> holder;
    private long bytes;

    private Reservation(Optional<Holder> holder) {
      this.holder = holder;
    }

    /** Returns the number of bytes reserved. */
    public long bytes() {
      return bytes;
    }

    /**
     * Changes the size. To make room, larger buffers are shed. If there is none that is larger than
     * this one would be, the size stays as it is.
     *
     * @return whether the reservation has the new size
     */
    public boolean resize(long newBytes) {
      while (usedBytes - bytes + newBytes > limitBytes && newBytes > bytes) {
        Optional<Reservation> largest = largestOther();
        boolean keepsOther =
            largest.isEmpty() || (holder.isPresent() && largest.get().bytes <= newBytes);
        if (keepsOther) {
          shedCount++;
          return false;
        }
        largest.get().shed();
      }
      setBytes(newBytes);
      return true;
    }

    /**
     * Sets the size of a buffer that exists already, even if the limit is exceeded. Other buffers
     * are shed to make room for it.
     */
    public void occupy(long newBytes) {
      if (!resize(newBytes)) {
        setBytes(newBytes);
      }
    }

    /** Returns the memory to the budget; has no effect if that was done before. */
    public void close() {
      setBytes(0);
    }

    private Optional<Reservation> largestOther() {
      return sheddable.stream()
          .filter(other -> other != this)
          .max(Comparator.comparingLong(Reservation::bytes));
    }

    private void shed() {
      shedCount++;
      close();
      holder.ifPresent(Holder::shed);
    }

    private void setBytes(long newBytes) {
      usedBytes += newBytes - bytes;
      peakBytes = Math.max(peakBytes, usedBytes);
      bytes = newBytes;
      if (newBytes == 0) {
        sheddable.remove(this);
      } else if (holder.isPresent()) {
        sheddable.add(this);
      }
    }
  }
}
