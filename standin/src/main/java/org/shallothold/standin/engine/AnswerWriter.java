package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.shallothold.standin.http.Exchange;
import org.shallothold.standin.http.Json;

/**
 * Sends an answer in OpenAI's form, either token by token or whole. Created per request; not to be
 * shared between threads.
 */
abstract sealed class AnswerWriter {

  private final Exchange exchange;
  private final String id;
  private final String model;

  private AnswerWriter(Exchange exchange, String id, String model) {
    this.exchange = exchange;
    this.id = id;
    this.model = model;
  }

  /**
   * Returns a writer.
   *
   * @param id identifier of the completion in the answer
   * @param stream whether to send server-sent events
   */
  static AnswerWriter of(Exchange exchange, String id, String model, boolean stream) {
    return stream ? new Stream(exchange, id, model) : new Whole(exchange, id, model);
  }

  /** Says that the request is running. */
  abstract void start();

  /** Adds a token. */
  abstract void token(String text);

  /** Ends a complete answer. */
  abstract void finish(String finishReason, ObjectNode usage);

  Exchange exchange() {
    return exchange;
  }

  /** Returns an answer document with one choice, which the caller fills. */
  ObjectNode document(String object) {
    ObjectNode document =
        Json.object().put("id", id).put("object", object).put("created", 0).put("model", model);
    document.putArray("choices").addObject().put("index", 0);
    return document;
  }

  ObjectNode choice(ObjectNode document) {
    return (ObjectNode) document.path("choices").path(0);
  }

  private static final class Stream extends AnswerWriter {

    Stream(Exchange exchange, String id, String model) {
      super(exchange, id, model);
    }

    @Override
    void start() {
      exchange().startEvents();
    }

    @Override
    void token(String text) {
      ObjectNode event = document("chat.completion.chunk");
      ObjectNode choice = choice(event);
      choice.putObject("delta").put("content", text);
      choice.putNull("finish_reason");
      exchange().sendEvent(event.toString());
    }

    @Override
    void finish(String finishReason, ObjectNode usage) {
      ObjectNode event = document("chat.completion.chunk");
      ObjectNode choice = choice(event);
      choice.putObject("delta");
      choice.put("finish_reason", finishReason);
      event.set("usage", usage);
      exchange().sendEvent(event.toString());
      exchange().sendEvent("[DONE]");
      exchange().endEvents();
    }
  }

  private static final class Whole extends AnswerWriter {

    private final StringBuilder content = new StringBuilder();

    Whole(Exchange exchange, String id, String model) {
      super(exchange, id, model);
    }

    @Override
    void start() {}

    @Override
    void token(String text) {
      content.append(text);
    }

    @Override
    void finish(String finishReason, ObjectNode usage) {
      ObjectNode answer = document("chat.completion");
      ObjectNode choice = choice(answer);
      choice.putObject("message").put("role", "assistant").put("content", content.toString());
      choice.put("finish_reason", finishReason);
      answer.set("usage", usage);
      exchange().respond(200, answer);
    }
  }
}
