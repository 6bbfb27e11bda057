package org.shallothold.gateway.forward.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.Transport;

/** Tests connections that callers open while the gateway starts. */
class CallerListenerTest {

  private final EventLoopGroup group = Transport.group("test", 1);

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  /** Responds to each request with status 204. */
  private static final class NoContentService implements CallerService {

    private final MemoryBudget memory = MemoryBudget.of(1_000_000);
    private final RequestMemoryBudget requestMemory = RequestMemoryBudget.of(1_000_000);
    private final ReadScheduler readScheduler;

    private NoContentService(EventLoopGroup group) {
      readScheduler = ReadScheduler.create("test", group.next());
    }

    @Override
    public CallerRequestListener accept(CallerRequest request, CallerExchange exchange) {
      request.body().release();
      exchange.sendResponse(
          HttpResponseStatus.NO_CONTENT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
      return new CallerRequestListener() {
        @Override
        public void callerDisconnected() {}

        @Override
        public void writabilityChanged() {}

        @Override
        public long decodedBytes() {
          return 0;
        }

        @Override
        public boolean mayHaveRun() {
          return false;
        }

        @Override
        public void memoryNeeded() {}
      };
    }

    @Override
    public void requestRejected(ReasonCode reason) {}

    @Override
    public CallerLimits limits() {
      return CallerLimits.DEFAULT;
    }

    @Override
    public MemoryBudget memory() {
      return memory;
    }

    @Override
    public RequestMemoryBudget requestMemory() {
      return requestMemory;
    }

    @Override
    public ReadScheduler readScheduler() {
      return readScheduler;
    }

    @Override
    public boolean isLeaving() {
      return false;
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
      listener.serve(new NoContentService(group));
      BufferedReader response =
          new BufferedReader(
              new InputStreamReader(early.getInputStream(), StandardCharsets.US_ASCII));
      assertEquals("HTTP/1.1 204 No Content", response.readLine());
    }
  }
}
