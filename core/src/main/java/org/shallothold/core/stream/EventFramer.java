package org.shallothold.core.stream;

/**
 * Finds the ends and ids of events in the bytes of an event stream. Made for each run of a request;
 * owned by one thread.
 */
public final class EventFramer {

  /** No event with an id has ended yet. */
  public static final long NO_EVENT = -1;

  private static final byte[] ID_FIELD = {'i', 'd', ':'};

  private int column;
  private boolean idLine;
  private boolean hasDigits;
  private boolean foreignCharacter;
  private long number;
  private long pendingId = NO_EVENT;
  private boolean pendingField;
  private long lastId = NO_EVENT;

  private EventFramer() {}

  /** Returns a framer at the start of a stream. */
  public static EventFramer create() {
    return new EventFramer();
  }

  /**
   * Takes the next byte.
   *
   * @return whether it ends an event
   */
  public boolean accept(byte value) {
    if (value == '\r') {
      return false;
    }
    if (value == '\n') {
      return endLine();
    }
    if (column < ID_FIELD.length) {
      idLine = (column == 0 || idLine) && value == ID_FIELD[column];
    } else if (idLine) {
      acceptIdCharacter(value);
    }
    column++;
    return false;
  }

  /** Returns the id of the last whole event, or {@link #NO_EVENT}. */
  public long lastId() {
    return lastId;
  }

  private void acceptIdCharacter(byte value) {
    if (value >= '0' && value <= '9') {
      number = number * 10 + (value - '0');
      hasDigits = true;
    } else if (value != ' ' || hasDigits) {
      foreignCharacter = true;
    }
  }

  private boolean endLine() {
    boolean empty = column == 0;
    if (!empty) {
      pendingField = true;
      if (idLine && column >= ID_FIELD.length && hasDigits && !foreignCharacter) {
        pendingId = number;
      }
    }
    column = 0;
    idLine = false;
    hasDigits = false;
    foreignCharacter = false;
    number = 0;
    if (!empty || !pendingField) {
      return false;
    }
    pendingField = false;
    if (pendingId != NO_EVENT) {
      lastId = pendingId;
      pendingId = NO_EVENT;
    }
    return true;
  }
}
