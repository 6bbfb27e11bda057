package org.shallothold.core.stream;

/**
 * Incremental parser that finds the ends and the ids of events in the bytes of a server-sent event
 * stream. Only numeric ids are recognized. Created for each run of a request; owned by one thread.
 */
public final class EventFramer {

  /** Value of {@link #lastEventId} before the end of the first event with an id. */
  public static final long NO_EVENT_ID = -1;

  private static final byte[] ID_FIELD = {'i', 'd', ':'};

  private int column;
  private boolean inIdField;
  private boolean hasDigits;
  private boolean hasInvalidCharacter;
  private long idValue;
  private long currentEventId = NO_EVENT_ID;
  private boolean hasFields;
  private long lastEventId = NO_EVENT_ID;

  private EventFramer() {}

  /** Returns a parser at the start of a stream. */
  public static EventFramer create() {
    return new EventFramer();
  }

  /**
   * Processes the next byte of the stream.
   *
   * @return whether the byte ends an event
   */
  public boolean accept(byte value) {
    if (value == '\r') {
      return false;
    }
    if (value == '\n') {
      return endLine();
    }
    if (column < ID_FIELD.length) {
      inIdField = (column == 0 || inIdField) && value == ID_FIELD[column];
    } else if (inIdField) {
      acceptIdCharacter(value);
    }
    column++;
    return false;
  }

  /** Returns the id of the last complete event with an id, or {@link #NO_EVENT_ID}. */
  public long lastEventId() {
    return lastEventId;
  }

  private void acceptIdCharacter(byte value) {
    if (value >= '0' && value <= '9') {
      idValue = idValue * 10 + (value - '0');
      hasDigits = true;
    } else if (value != ' ' || hasDigits) {
      hasInvalidCharacter = true;
    }
  }

  private boolean endLine() {
    boolean empty = column == 0;
    if (!empty) {
      hasFields = true;
      if (inIdField && column >= ID_FIELD.length && hasDigits && !hasInvalidCharacter) {
        currentEventId = idValue;
      }
    }
    column = 0;
    inIdField = false;
    hasDigits = false;
    hasInvalidCharacter = false;
    idValue = 0;
    if (!empty || !hasFields) {
      return false;
    }
    hasFields = false;
    if (currentEventId != NO_EVENT_ID) {
      lastEventId = currentEventId;
      currentEventId = NO_EVENT_ID;
    }
    return true;
  }
}
