package org.shallothold.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against events that are split at the wrong place or get the wrong id. */
class EventFramerTest {

  private final EventFramer framer = EventFramer.create();

  private int feed(String text) {
    int endedEvents = 0;
    for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
      endedEvents += framer.accept(value) ? 1 : 0;
    }
    return endedEvents;
  }

  @Test
  void blankLineEndsAnEvent() {
    assertEquals(2, feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertEquals(2, framer.lastEventId());
  }

  /** Guards against resuming after an event of which only a part was received. */
  @Test
  void idOfIncompleteEventIsIgnored() {
    assertEquals(1, feed("id: 1\ndata: a\n\nid: 2\ndata: b"));
    assertEquals(1, framer.lastEventId());
  }

  @Test
  void carriageReturnsAreIgnored() {
    assertEquals(1, feed("id:3\r\ndata: a\r\n\r\n"));
    assertEquals(3, framer.lastEventId());
  }

  @Test
  void idWithinDataIsIgnored() {
    feed("id: 4\ndata: id: 9\n\n");
    assertEquals(4, framer.lastEventId());
  }

  @Test
  void extraBlankLinesEndNoEvent() {
    assertEquals(1, feed("\n\nid: 1\ndata: a\n\n\n\n"));
  }

  @Test
  void eventWithoutIdKeepsTheLastId() {
    feed("id: 4\ndata: a\n\ndata: b\n\n");
    assertEquals(4, framer.lastEventId());
  }
}
