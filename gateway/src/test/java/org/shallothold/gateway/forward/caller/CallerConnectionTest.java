package org.shallothold.gateway.forward.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {

  private static final int EVENTS = 100;

  private final IteratingChannel channel = new IteratingChannel();
  private final RecordingService service = new RecordingService(channel.eventLoop());
  private final FlushCounter flushes = new FlushCounter();

  /** Keeps the exchange of the last request, which the test answers. */
  private static final class RecordingService extends CallerServiceStub {

    private @Nullable CallerExchange exchange;

    private RecordingService(EventLoop eventLoop) {
      super(eventLoop);
    }

    private CallerExchange exchange() {
      return Objects.requireNonNull(exchange);
    }

    @Override
    public CallerRequestListener accept(CallerRequest request, CallerExchange newExchange) {
      request.body().release();
      exchange = newExchange;
      return new IgnoringListener();
    }
  }

  /** Runs the tasks of its event loop only at the end of an iteration. */
  private static final class IteratingChannel extends EmbeddedChannel {

    @Override
    public void runPendingTasks() {
      // Called by each operation of the channel.
    }

    private void endIteration() {
      super.runPendingTasks();
    }
  }

  /** Counts the flushes of a channel. */
  private static final class FlushCounter extends ChannelOutboundHandlerAdapter {
    private int count;

    @Override
    public void flush(ChannelHandlerContext context) {
      count++;
      context.flush();
    }
  }

  /** Begins a stream on the connection. */
  private CallerExchange beginStream() {
    channel.pipeline().addLast(flushes, new CallerConnection(service, channel));
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, "a.example");
    channel.writeInbound(request);
    CallerExchange exchange = service.exchange();
    exchange.beginStream(HttpResponseStatus.OK, new DefaultHttpHeaders());
    return exchange;
  }

  private static ByteBuf event(int number) {
    return Unpooled.copiedBuffer("id: " + number + "\n\n", StandardCharsets.US_ASCII);
  }

  /** Returns the contents that the caller has received since the last call. */
  private List<String> received() {
    List<String> contents = new ArrayList<>();
    for (Object message = channel.readOutbound();
        message != null;
        message = channel.readOutbound()) {
      if (message instanceof HttpContent content) {
        contents.add(content.content().toString(StandardCharsets.US_ASCII));
        content.release();
      }
    }
    return contents;
  }

  @Nested
  class Events {

    /** Guards against tokens that wait for other work of the event loop. */
    @Test
    void firstIsSentAtOnce() {
      beginStream().sendEvents(event(0));
      assertEquals(List.of("id: 0\n\n"), received());
    }

    /** Guards against a call to the operating system for each of many small events. */
    @Test
    void manyAreFlushedTogether() {
      CallerExchange exchange = beginStream();
      int flushesBefore = flushes.count;
      IntStream.range(0, EVENTS).forEach(i -> exchange.sendEvents(event(i)));
      channel.endIteration();
      assertEquals(2, flushes.count - flushesBefore);
      assertEquals(
          IntStream.range(0, EVENTS).mapToObj(i -> "id: " + i + "\n\n").toList(), received());
    }

    @Test
    void areSentAtOnceAgainInTheNextIteration() {
      CallerExchange exchange = beginStream();
      exchange.sendEvents(event(0));
      channel.endIteration();
      exchange.sendEvents(event(1));
      assertEquals(List.of("id: 0\n\n", "id: 1\n\n"), received());
    }

    /** Guards against events that count as forwarded and are lost when their stream breaks off. */
    @Test
    void areSentBeforeTheConnectionIsAborted() {
      CallerExchange exchange = beginStream();
      exchange.sendEvents(event(0));
      exchange.sendEvents(event(1));
      exchange.abort();
      assertEquals(List.of("id: 0\n\n", "id: 1\n\n"), received());
    }
  }
}
