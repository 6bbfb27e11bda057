package org.shallothold.gateway.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.request.Call;
import org.shallothold.gateway.request.CallerRequest;
import org.shallothold.gateway.request.Failure;
import org.shallothold.gateway.request.Responder;
import org.shallothold.wire.proto.ServiceAnswer;
import ratpack.exec.Downstream;

/**
 * Answers one request over HTTP. Made for each request; called on the thread that owns the requests
 * and hands everything to the caller's event loop.
 */
final class HttpResponder implements Responder {

  private final CallerRequest request;
  private final CompletionJson json;
  private final Downstream<? super Reply> downstream;
  private final Channel channel;
  private final ChannelFutureListener closeListener;
  private @Nullable EventStream stream;
  private volatile boolean ended;

  private HttpResponder(
      CallerRequest request,
      CompletionJson json,
      Downstream<? super Reply> downstream,
      Channel channel,
      ChannelFutureListener closeListener) {
    this.request = request;
    this.json = json;
    this.downstream = downstream;
    this.channel = channel;
    this.closeListener = closeListener;
  }

  /**
   * Returns a responder that calls back once if the caller's connection closes before the answer is
   * complete.
   */
  static HttpResponder watch(
      CallerRequest request,
      Downstream<? super Reply> downstream,
      Channel channel,
      Runnable callerGone) {
    String model = request.call() instanceof Call.Completion completion ? completion.model() : "";
    CompletionJson json =
        new CompletionJson(
            "chatcmpl-" + request.requestId(), model, System.currentTimeMillis() / 1_000);
    ChannelFutureListener listener = future -> callerGone.run();
    return new HttpResponder(request, json, downstream, channel, listener);
  }

  /**
   * Starts to watch the caller's connection. Called after the request was handed over, so that the
   * news of a closed connection never overtakes the request; the answer may be complete already.
   */
  void watchConnection() {
    channel.closeFuture().addListener(closeListener);
    if (ended) {
      unwatch();
    }
  }

  @Override
  public boolean tokens(List<String> tokens) {
    EventStream open = stream;
    if (open == null) {
      open = open();
    }
    return open.offer(json.tokensEvent(tokens));
  }

  @Override
  public void completed(List<String> tokens, String finishReason) {
    unwatch();
    if (!(request.call() instanceof Call.Completion completion) || !completion.stream()) {
      downstream.success(jsonReply(200, json.whole(tokens, finishReason)));
      return;
    }
    EventStream open = stream == null ? open() : stream;
    String usage = completion.includeUsage() ? json.usageEvent(tokens.size()) : "";
    open.end(json.finishEvent(finishReason) + usage + CompletionJson.DONE_EVENT);
  }

  @Override
  public void answered(ServiceAnswer answer) {
    unwatch();
    downstream.success(new Reply.Passed(answer));
  }

  @Override
  public void ticket(String ticket) {
    unwatch();
    String body = JsonNodeFactory.instance.objectNode().put("ticket", ticket).toString();
    downstream.success(
        new Reply.Whole(
            201,
            "application/json",
            Map.of("Order-Ticket", ticket),
            body.getBytes(StandardCharsets.UTF_8)));
  }

  @Override
  public void ticketState(String ticket, String state) {
    unwatch();
    downstream.success(
        jsonReply(
            200,
            JsonNodeFactory.instance
                .objectNode()
                .put("ticket", ticket)
                .put("state", state)
                .put("not_run", state.equals("sealed"))
                .toString()));
  }

  @Override
  public void failed(Failure failure) {
    unwatch();
    EventStream open = stream;
    if (open == null) {
      downstream.success(HttpErrors.reply(failure));
    } else {
      open.end(CompletionJson.errorEvent(HttpErrors.body(failure)));
    }
  }

  private EventStream open() {
    EventStream opened = new EventStream(channel.eventLoop());
    stream = opened;
    opened.offer(json.firstEvent());
    downstream.success(new Reply.Stream(opened));
    return opened;
  }

  private void unwatch() {
    ended = true;
    channel.closeFuture().removeListener(closeListener);
  }

  private static Reply.Whole jsonReply(int status, String body) {
    return new Reply.Whole(
        status, "application/json", Map.of(), body.getBytes(StandardCharsets.UTF_8));
  }
}
