package org.shallothold.gateway.forward.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothold.wire.connection.Transport;

/** Tests connections that callers open while the gateway starts. */
class CallerListenerTest {

  private final EventLoopGroup group = Transport.group("test", 1);

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  /** Responds to each request with status 204, to a first one for /held only when it is told to. */
  private static final class NoContentService extends CallerServiceStub {

    private final EventLoop eventLoop;
    private final CountDownLatch accepted;
    private @Nullable CallerExchange held;
    private int acceptedInIteration;
    private int mostAcceptedInIteration;

    private NoContentService(EventLoop eventLoop, int expectedRequests) {
      super(eventLoop);
      this.eventLoop = eventLoop;
      accepted = new CountDownLatch(expectedRequests);
    }

    private static void respond(CallerExchange exchange) {
      exchange.sendResponse(
          HttpResponseStatus.NO_CONTENT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    /** Counts the requests of each iteration of the event loop apart. */
    private void countIterations() {
      acceptedInIteration = 0;
      if (accepted.getCount() > 0) {
        eventLoop.schedule(this::countIterations, 0, TimeUnit.NANOSECONDS);
      }
    }

    private void respondToHeld() {
      countIterations();
      respond(Objects.requireNonNull(held));
    }

    @Override
    public CallerRequestListener accept(CallerRequest request, CallerExchange exchange) {
      request.body().release();
      acceptedInIteration++;
      mostAcceptedInIteration = Math.max(mostAcceptedInIteration, acceptedInIteration);
      accepted.countDown();
      if (request.head().uri().equals("/held")) {
        held = exchange;
      } else {
        respond(exchange);
      }
      return new IgnoringListener();
    }
  }

  /**
   * Guards against a connection that is refused, or never accepted, because it was opened after the
   * listener was bound but before the gateway serves requests.
   */
  @Test
  void connectionOpenedDuringStartIsServedAfterIt() throws IOException {
    CallerListener listener =
        CallerListener.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    try (Socket early = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
      byte[] request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      early.getOutputStream().write(request);
      listener.serve(new NoContentService(group.next(), 1));
      BufferedReader response =
          new BufferedReader(
              new InputStreamReader(early.getInputStream(), StandardCharsets.US_ASCII));
      assertEquals("HTTP/1.1 204 No Content", response.readLine());
    }
  }

  /** Guards against pipelined requests that occupy the event loop until the last is answered. */
  @Test
  void pipelinedRequestsLeaveTurnsForOthers() throws IOException, InterruptedException {
    int requests = 400;
    CallerListener listener =
        CallerListener.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    NoContentService service = new NoContentService(group.next(), 1 + requests);
    listener.serve(service);
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
      String pipelined =
          "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
              + "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requests);
      caller.getOutputStream().write(pipelined.getBytes(StandardCharsets.US_ASCII));
      while (service.accepted.getCount() > requests) {
        Thread.sleep(10);
      }
      // Lets the requests behind the held one arrive.
      Thread.sleep(300);
      service.eventLoop.execute(service::respondToHeld);
      assertTrue(service.accepted.await(10, TimeUnit.SECONDS));
    }
    // Requests that arrive while none waits are handled as far as one slice of a read holds them.
    int requestsOfSlice = 2 * 1024 / "GET / HTTP/1.1\r\nHost: a\r\n\r\n".length() + 1;
    assertTrue(
        service.mostAcceptedInIteration <= requestsOfSlice,
        () -> "accepted in one iteration: " + service.mostAcceptedInIteration);
  }
}
