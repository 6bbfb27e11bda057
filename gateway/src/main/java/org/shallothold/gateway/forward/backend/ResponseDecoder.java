package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on one connection that carries one request at a time, and detects bytes
 * that belong to no request: those that arrive while no response is expected, and those that follow
 * the last byte of a response. If they stayed in the decoder, the next response would be read as
 * their continuation. The owner closes the connection on such bytes. Created per connection; not
 * thread-safe; used on the event loop only.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES = 32 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private final Listener listener;
  private HttpMethod method = HttpMethod.GET;
  private boolean responseExpected;

  /** Receives the bytes that belong to no request. */
  public interface Listener {

    /** Called when bytes arrive while no response is expected; they are discarded. */
    void unexpectedBytes(int length);
  }

  /** Creates a decoder that expects no response yet. */
  public ResponseDecoder(Listener listener) {
    super(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
    this.listener = listener;
  }

  /** Prepares for the response to a request with the given method; called before it is sent. */
  public void expectResponse(HttpMethod requestMethod) {
    method = requestMethod;
    responseExpected = true;
  }

  /**
   * Ends the response whose last part was decoded just now. Called while that part is handled;
   * otherwise the bytes that follow would be decoded first.
   *
   * @return the bytes that were received after it; valid during the call of the listener
   */
  public ByteBuf endResponse() {
    responseExpected = false;
    return internalBuffer();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (responseExpected) {
      super.channelRead(context, message);
      return;
    }
    int length = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    ReferenceCountUtil.release(message);
    listener.unexpectedBytes(length);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
  }
}
