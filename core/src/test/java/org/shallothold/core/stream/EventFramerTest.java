package org.shallothold.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Where events end, and which id each has. */
class EventFramerTest {

  private final EventFramer framer = EventFramer.create();

  private int feed(String text) {
    int ends = 0;
    for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
      ends += framer.accept(value) ? 1 : 0;
    }
    return ends;
  }

  @Test
  void blankLineEndsAnEvent() {
    assertEquals(2, feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertEquals(2, framer.lastId());
  }

  /** Guards against resuming after an event that was cut in the middle. */
  @Test
  void idOfACutEventDoesNotCount() {
    assertEquals(1, feed("id: 1\ndata: a\n\nid: 2\ndata: b"));
    assertEquals(1, framer.lastId());
  }

  @Test
  void carriageReturnsAreIgnored() {
    assertEquals(1, feed("id:3\r\ndata: a\r\n\r\n"));
    assertEquals(3, framer.lastId());
  }

  @Test
  void idWithinDataIsNoId() {
    feed("id: 4\ndata: id: 9\n\n");
    assertEquals(4, framer.lastId());
  }

  @Test
  void blankLinesBetweenEventsEndNone() {
    assertEquals(1, feed("\n\nid: 1\ndata: a\n\n\n\n"));
  }

  @Test
  void eventsWithoutIdKeepTheLastOne() {
    feed("id: 4\ndata: a\n\ndata: b\n\n");
    assertEquals(4, framer.lastId());
  }
}
