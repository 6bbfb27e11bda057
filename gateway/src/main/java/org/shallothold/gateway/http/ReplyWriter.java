package org.shallothold.gateway.http;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ratpack.handling.Context;

/** Sends responses through Ratpack; stateless. */
final class ReplyWriter {

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "content-length",
          "keep-alive",
          "proxy-authenticate",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private ReplyWriter() {}

  static void text(Context context, int status, String text) {
    context.getResponse().status(status).send("text/plain; charset=utf-8", text);
  }

  static void send(Context context, Reply reply) {
    var response = context.getResponse();
    switch (reply) {
      case Reply.Whole(
              int status,
              String contentType,
              Map<String, String> headers,
              byte[] body) -> {
        headers.forEach((name, value) -> response.getHeaders().set(name, value));
        response.status(status).send(contentType, body);
      }
      case Reply.Passed(var answer) -> {
        answer.getHeadersList().stream()
            .filter(header -> isPassedBack(header.getName().toLowerCase(Locale.ROOT)))
            .forEach(header -> response.getHeaders().add(header.getName(), header.getValue()));
        response.status(answer.getStatus()).send(answer.getBody().toByteArray());
      }
      case Reply.Stream(EventStream events) -> {
        response.getHeaders().set("Content-Type", "text/event-stream");
        response.getHeaders().set("Cache-Control", "no-cache");
        response.sendStream(events);
      }
    }
  }

  private static boolean isPassedBack(String name) {
    return !HOP_BY_HOP.contains(name) && !name.startsWith("shallothold-");
  }
}
