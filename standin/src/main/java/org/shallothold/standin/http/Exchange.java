package org.shallothold.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One request and its answer. Created by {@link LoopbackServer} and used only on the server's
 * thread; ends with its answer or with the caller's connection.
 */
public final class Exchange {

  private final Channel channel;
  private final String method;
  private final QueryStringDecoder target;
  private final HttpHeaders headers;
  private final byte[] body;
  private final boolean keepAlive;

  private final HttpHeaders answerHeaders = new DefaultHttpHeaders();
  private boolean finished;
  private Runnable closeListener = () -> {};

  Exchange(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    this.method = request.method().name();
    this.target = new QueryStringDecoder(request.uri());
    this.headers = request.headers();
    this.body = ByteBufUtil.getBytes(request.content());
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  /** Returns the method, in capitals. */
  public String method() {
    return method;
  }

  /** Returns the decoded path without the query. */
  public String path() {
    return target.path();
  }

  /** Returns method and path, separated by a space. */
  public String route() {
    return method + " " + path();
  }

  /** Returns the first value of a query parameter, or the default. */
  public String query(String name, String defaultValue) {
    return target.parameters().getOrDefault(name, List.of(defaultValue)).getFirst();
  }

  /**
   * Returns a query parameter as a whole number of at least 0, or the default.
   *
   * @throws RequestException with status 400 if it is none
   */
  public long queryNumber(String name, long defaultValue) {
    String text = query(name, Long.toString(defaultValue));
    try {
      long number = Long.parseLong(text);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Falls through to the same answer as a negative number.
    }
    throw RequestException.badRequest(name + " must be a whole number of at least 0: " + text);
  }

  /** Returns a header's first value, or null if there is none. */
  public @Nullable String header(String name) {
    return headers.get(name);
  }

  /** Returns the body, not copied. */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the body as a JSON object.
   *
   * @throws RequestException with status 400 if it is none
   */
  public ObjectNode json() {
    return Json.parseObject(body);
  }

  /** Returns whether the exchange was answered in full or the caller's connection has closed. */
  public boolean finished() {
    return finished;
  }

  /** Sets what is run if the caller's connection closes before the answer is complete. */
  public void onClose(Runnable listener) {
    closeListener = listener;
  }

  /** Adds a header to the answer, which must not have begun. */
  public void addAnswerHeader(String name, String value) {
    answerHeaders.add(name, value);
  }

  /** Sends a whole JSON answer. Does nothing if the exchange is finished. */
  public void respond(int status, JsonNode document) {
    if (finished) {
      return;
    }
    finished = true;
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(Json.bytes(document)));
    response.headers().add(answerHeaders);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    writeLast(response);
  }

  /** Starts an answer of server-sent events. */
  public void startEvents() {
    if (finished) {
      return;
    }
    var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().add(answerHeaders);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    HttpUtil.setTransferEncodingChunked(response, true);
    write(response);
  }

  /** Sends one server-sent event. Does nothing if the exchange is finished. */
  public void sendEvent(String data) {
    if (finished) {
      return;
    }
    byte[] event = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    write(new DefaultHttpContent(Unpooled.wrappedBuffer(event)));
  }

  /** Ends an answer of server-sent events. Does nothing if the exchange is finished. */
  public void endEvents() {
    if (finished) {
      return;
    }
    finished = true;
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Marks the exchange as abandoned by the caller and tells the listener. */
  void connectionClosed() {
    if (!finished) {
      finished = true;
      closeListener.run();
    }
  }

  /** A failed write closes the connection, which tells the listener. */
  private void write(Object message) {
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }

  private void writeLast(Object message) {
    var written = channel.writeAndFlush(message);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }
}
