package org.shallothold.wire.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ReadSchedulerTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  // As documented for runs of deferred connections, plus the slice that exceeds it.
  private static final long LONGEST_RUN_NANOS = 2 * MILLI;
  private static final int READ_BYTES = 64 * 1024;

  private long nowNanos;
  private final EmbeddedChannel loopChannel = new EmbeddedChannel();
  private final ReadScheduler scheduler =
      ReadScheduler.withClock(loopChannel.eventLoop(), () -> nowNanos);

  /** A connection whose handler takes a time for each byte. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ScheduledReads reads = scheduler.newReads(channel);
    private final double nanosPerByte;
    private final StringBuilder received = new StringBuilder();
    private final List<String> events = new ArrayList<>();

    private Connection(double nanosPerByte) {
      this.nanosPerByte = nanosPerByte;
      channel.pipeline().addLast(reads, this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      nowNanos += (long) (bytes.readableBytes() * nanosPerByte);
      received.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      events.add("complete after " + received.length());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      events.add("inactive after " + received.length());
    }

    private void read(String text) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void read(int bytes) {
      read("x".repeat(bytes));
    }
  }

  /** Runs one iteration of the event loop; returns how long it took. */
  private long runIteration(Connection... connections) {
    long startNanos = nowNanos;
    loopChannel.runPendingTasks();
    for (Connection connection : connections) {
      connection.channel.runPendingTasks();
    }
    return nowNanos - startNanos;
  }

  private static Connection[] array(List<Connection> connections) {
    return connections.toArray(Connection[]::new);
  }

  @Nested
  class ConnectionsWithCredit {

    @Test
    void areHandledAtOnce() {
      Connection connection = new Connection(1);
      connection.read(READ_BYTES);
      assertEquals(READ_BYTES, connection.received.length());
      assertEquals(List.of("complete after " + READ_BYTES), connection.events);
      assertTrue(connection.channel.config().isAutoRead());
      assertFalse(connection.reads.mayHaveUnreadBytes());
    }

    /** Guards against delays of sound connections by those whose bytes make much work. */
    @Test
    void goBeforeThoseThatUsedItUp() {
      Connection costly = new Connection(1_000);
      costly.read(READ_BYTES);
      Connection usual = new Connection(100);
      usual.read(1_000);
      assertEquals(1_000, usual.received.length());
      assertTrue(costly.received.length() < READ_BYTES);
    }

    @Test
    void areHandledAtOnceAgainWhenTheyRegainIt() {
      Connection connection = new Connection(1_000);
      connection.read(3_000);
      while (scheduler.deferredConnections() > 0) {
        runIteration(connection);
      }
      connection.read("a");
      assertEquals(3_000, connection.received.length());
      runIteration(connection);
      nowNanos += 1_000 * MILLI;
      connection.read("b");
      assertEquals(3_002, connection.received.length());
    }
  }

  @Nested
  class DeferredConnections {

    /** Guards against a read that occupies the event loop as long as bytes arrive. */
    @Test
    void useALimitedTimeInEachIteration() {
      List<Connection> connections =
          IntStream.range(0, 10).mapToObj(i -> new Connection(500)).toList();
      connections.forEach(connection -> connection.read(READ_BYTES));
      while (scheduler.deferredConnections() > 0) {
        long sliceNanos = 2 * 1024 * 500;
        assertTrue(runIteration(array(connections)) <= LONGEST_RUN_NANOS + sliceNanos);
      }
      assertTrue(
          connections.stream().allMatch(connection -> connection.received.length() == READ_BYTES));
    }

    @Test
    void takeTurns() {
      List<Connection> connections =
          IntStream.range(0, 4).mapToObj(i -> new Connection(1_000)).toList();
      connections.forEach(connection -> connection.read(READ_BYTES));
      int least = connections.getLast().received.length();
      // A run is as long as one slice of these.
      IntStream.range(0, 8).forEach(i -> runIteration(array(connections)));
      connections.forEach(
          connection -> assertEquals(least + 2 * 2 * 1024, connection.received.length()));
    }

    /** Guards against chunks that are forwarded before the rest of their read has been decoded. */
    @Test
    void completeTheReadAfterItsLastByte() {
      Connection connection = new Connection(1_000);
      connection.read(10_000);
      assertFalse(connection.channel.config().isAutoRead());
      assertEquals(List.of(), connection.events);
      while (scheduler.deferredConnections() > 0) {
        assertTrue(connection.reads.mayHaveUnreadBytes());
        runIteration(connection);
      }
      assertEquals(List.of("complete after 10000"), connection.events);
      assertTrue(connection.channel.config().isAutoRead());
      assertFalse(connection.reads.mayHaveUnreadBytes());
    }

    /** Guards against bytes behind a response that stay unseen since they wait for a turn. */
    @Test
    void showTheBytesThatWait() {
      Connection connection = new Connection(1_000);
      connection.read("a".repeat(2 * 1024) + "following");
      ByteBuf bytes = Unpooled.copiedBuffer("first, ", StandardCharsets.US_ASCII);
      assertEquals(
          "first, following",
          connection.reads.withUnread(bytes).toString(StandardCharsets.US_ASCII));
    }

    @Test
    void stayPausedIfTheirOwnerPausedThem() {
      Connection connection = new Connection(1_000);
      connection.read(10_000);
      connection.reads.setAutoRead(false);
      while (scheduler.deferredConnections() > 0) {
        runIteration(connection);
      }
      assertEquals(List.of("complete after 10000"), connection.events);
      assertFalse(connection.channel.config().isAutoRead());
      connection.reads.setAutoRead(true);
      assertTrue(connection.channel.config().isAutoRead());
    }

    @Test
    void arePassedOnWholeWhenTheOtherSideCloses() {
      Connection connection = new Connection(1_000);
      connection.read(10_000);
      connection.channel.pipeline().fireChannelInactive();
      assertEquals(List.of("complete after 10000", "inactive after 10000"), connection.events);
    }

    @Test
    void areDroppedWhenTheirOwnerCloses() {
      Connection connection = new Connection(1_000);
      connection.read(10_000);
      int handled = connection.received.length();
      connection.channel.close();
      runIteration(connection);
      assertEquals(handled, connection.received.length());
      assertEquals(0, scheduler.deferredConnections());
    }

    /** Guards against memory that grows when the transport reads although it was paused. */
    @Test
    void keepALimitedNumberOfBytes() {
      Connection connection = new Connection(1_000);
      IntStream.range(0, 20).forEach(i -> connection.read(READ_BYTES));
      assertTrue(
          20 * READ_BYTES - connection.received.length() <= 2 * READ_BYTES,
          () -> "handled " + connection.received.length());
    }
  }

  /** Connections of random cost that pause, resume and close, from seeds. */
  @Nested
  class Soak {

    private static IntStream seeds() {
      return IntStream.range(0, Integer.getInteger("soak.seeds", 200));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void bytesKeepTheirOrderAndRunsTheirLimit(int seed) {
      Random random = new Random(seed);
      List<Connection> connections =
          IntStream.range(0, 1 + random.nextInt(30))
              .mapToObj(i -> new Connection(random.nextBoolean() ? 5 : random.nextInt(2_000)))
              .toList();
      List<StringBuilder> sent = connections.stream().map(c -> new StringBuilder()).toList();
      for (int step = 0; step < 200; step++) {
        int index = random.nextInt(connections.size());
        Connection connection = connections.get(index);
        if (connection.channel.isOpen() && connection.channel.config().isAutoRead()) {
          String text = Integer.toString(random.nextInt()).repeat(1 + random.nextInt(2_000));
          sent.get(index).append(text);
          connection.read(text);
        }
        switch (random.nextInt(20)) {
          case 0 -> connection.reads.setAutoRead(false);
          case 1 -> connection.reads.setAutoRead(true);
          case 2 -> connection.channel.close();
          default -> {
            // Only bytes arrive.
          }
        }
        nowNanos += random.nextInt((int) MILLI);
        assertTrue(runIteration(array(connections)) <= LONGEST_RUN_NANOS + 2 * 1024 * 2_000L);
      }
      while (scheduler.deferredConnections() > 0) {
        runIteration(array(connections));
      }
      for (int i = 0; i < connections.size(); i++) {
        Connection connection = connections.get(i);
        String all = sent.get(i).toString();
        assertTrue(all.startsWith(connection.received.toString()));
        if (connection.channel.isOpen()) {
          assertEquals(all.length(), connection.received.length());
        }
      }
    }
  }
}
