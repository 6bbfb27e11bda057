package org.shallothold.gateway.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The JSON of one completion, in the shape that OpenAI's clients expect. Made for each completion.
 *
 * @param id id of the completion
 * @param model name of the model
 * @param createdSeconds time of the request, in seconds since the epoch
 */
record CompletionJson(String id, String model, long createdSeconds) {

  static final String DONE_EVENT = "data: [DONE]\n\n";

  /** Returns the whole answer. */
  String whole(List<String> tokens, String finishReason) {
    ObjectNode node = envelope("chat.completion");
    ObjectNode choice = node.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", String.join("", tokens));
    choice.put("finish_reason", finishReason);
    // Only the engine counts the prompt's tokens, so only the answer's are given.
    node.putObject("usage").put("completion_tokens", tokens.size());
    return node.toString();
  }

  /** Returns the event that opens a stream. */
  String firstEvent() {
    return event(chunk("assistant", "", null));
  }

  /** Returns the event for some tokens. */
  String tokensEvent(List<String> tokens) {
    return event(chunk(null, String.join("", tokens), null));
  }

  /** Returns the event that ends a complete answer. */
  String finishEvent(String finishReason) {
    return event(chunk(null, null, finishReason));
  }

  /** Returns the event with the number of tokens. */
  String usageEvent(int tokens) {
    ObjectNode node = envelope("chat.completion.chunk");
    node.putArray("choices");
    node.putObject("usage").put("completion_tokens", tokens);
    return event(node);
  }

  static String errorEvent(ObjectNode error) {
    return "event: error\ndata: " + error + "\n\n";
  }

  private ObjectNode chunk(
      @org.jspecify.annotations.Nullable String role,
      @org.jspecify.annotations.Nullable String content,
      @org.jspecify.annotations.Nullable String finishReason) {
    ObjectNode node = envelope("chat.completion.chunk");
    ObjectNode choice = node.putArray("choices").addObject();
    choice.put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (role != null) {
      delta.put("role", role);
    }
    if (content != null) {
      delta.put("content", content);
    }
    choice.put("finish_reason", finishReason);
    return node;
  }

  private ObjectNode envelope(String object) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", id);
    node.put("object", object);
    node.put("created", createdSeconds);
    node.put("model", model);
    return node;
  }

  private static String event(ObjectNode node) {
    return "data: " + node + "\n\n";
  }
}
