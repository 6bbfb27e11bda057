package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.RequestException;

/**
 * A request for a completion and how far it has come. Created by {@link EngineStandin}, advanced by
 * {@link BatchScheduler}; not to be shared between threads.
 */
final class Completion {

  private final String model;
  private final long priority;
  private final long arrival;
  private final List<String> contextWords;
  private final List<String> resumeTokens;
  private final int promptTokens;
  private final AnswerText answer;
  private final AnswerWriter writer;

  private int nextToken;
  private int cachedTokens;
  private int cutAfter = Integer.MAX_VALUE;
  private int prefillLeft;

  private Completion(
      String model,
      long priority,
      long arrival,
      List<String> promptWords,
      List<String> resumeTokens,
      AnswerText answer,
      AnswerWriter writer) {
    this.model = model;
    this.priority = priority;
    this.arrival = arrival;
    this.contextWords = new ArrayList<>(promptWords);
    resumeTokens.forEach(token -> contextWords.add(token.strip()));
    this.resumeTokens = resumeTokens;
    this.promptTokens = promptWords.size();
    this.answer = answer;
    this.writer = writer;
    this.nextToken = resumeTokens.size();
  }

  /**
   * Reads a request.
   *
   * @param arrival number of the request in order of arrival
   * @throws RequestException with status 400 if a field is missing or not allowed
   */
  static Completion parse(ObjectNode request, String model, long arrival, AnswerWriter writer) {
    if (!(request.path("messages") instanceof ArrayNode messages) || messages.isEmpty()) {
      throw RequestException.badRequest("messages must be an array with at least one message");
    }
    AnswerText answer =
        AnswerText.of(messages, length(request, "max_tokens"), length(request, "length_hint"));
    return new Completion(
        model,
        Json.integer(request, "priority", 0, value -> true),
        arrival,
        promptWords(messages),
        resumeTokens(request),
        answer,
        writer);
  }

  String model() {
    return model;
  }

  long priority() {
    return priority;
  }

  long arrival() {
    return arrival;
  }

  /** Returns the words of the prompt and of the answer so far, each counted as one token. */
  List<String> contextWords() {
    return contextWords;
  }

  /** Returns the number of tokens that the caller already has. */
  int resumedTokens() {
    return resumeTokens.size();
  }

  /** Returns whether the caller's tokens are those that any engine would have generated. */
  boolean resumesRightAnswer() {
    return resumeTokens.size() <= answer.length()
        && IntStream.range(0, resumeTokens.size())
            .allMatch(index -> resumeTokens.get(index).equals(answer.token(index)));
  }

  AnswerText answer() {
    return answer;
  }

  AnswerWriter writer() {
    return writer;
  }

  /** Returns the number of tokens generated for this request, without the resumed ones. */
  int generatedTokens() {
    return nextToken - resumeTokens.size();
  }

  /** Returns whether every token of the answer was generated or resumed. */
  boolean complete() {
    return nextToken >= answer.length();
  }

  /** Makes the stream end after a number of generated tokens without its end mark. */
  void cutAfter(int tokens) {
    cutAfter = tokens;
  }

  /** Returns whether the stream is to end here without its end mark. */
  boolean cutHere() {
    return generatedTokens() == cutAfter;
  }

  /** Begins prefill of the part of the context that was not cached. */
  void beginPrefill(int cached) {
    cachedTokens = cached;
    prefillLeft = contextWords.size() - cached;
  }

  /** Computes up to a number of context tokens; returns how many were computed. */
  int prefill(int most) {
    int computed = Math.min(prefillLeft, most);
    prefillLeft -= computed;
    return computed;
  }

  /** Returns whether the whole context is computed, so that a token can be generated. */
  boolean prefilled() {
    return prefillLeft == 0;
  }

  /** Generates the next token and sends it. */
  void generateToken() {
    String token = answer.token(nextToken);
    writer.token(token);
    contextWords.add(token.strip());
    nextToken++;
  }

  /** Returns the numbers of tokens in OpenAI's form; completion tokens include resumed ones. */
  ObjectNode usage() {
    ObjectNode usage =
        Json.object()
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", nextToken)
            .put("total_tokens", contextWords.size())
            .put("resumed_tokens", resumeTokens.size());
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
    return usage;
  }

  private static OptionalInt length(ObjectNode request, String name) {
    long value =
        Json.integer(request, name, -1, number -> number >= 0 && number <= Integer.MAX_VALUE);
    return value < 0 ? OptionalInt.empty() : OptionalInt.of((int) value);
  }

  private static List<String> promptWords(ArrayNode messages) {
    List<String> words = new ArrayList<>();
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual()) {
        throw RequestException.badRequest("each message needs a role: " + message);
      }
      JsonNode content = message.path("content");
      String text = content.isTextual() ? content.asText() : content.toString();
      words.add(message.path("role").asText());
      words.addAll(List.of(text.strip().split("\\s+", -1)));
    }
    // Chat templates end the prompt so, which makes a later turn share the answer's blocks too.
    words.add("assistant");
    return words;
  }

  private static List<String> resumeTokens(ObjectNode request) {
    JsonNode tokens = request.path("resume_tokens");
    if (tokens.isMissingNode() || tokens.isNull()) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    if (!tokens.isArray()) {
      throw RequestException.badRequest("resume_tokens must be an array of texts");
    }
    for (JsonNode token : tokens) {
      if (!token.isTextual()) {
        throw RequestException.badRequest("resume_tokens must be an array of texts");
      }
      texts.add(token.asText());
    }
    return List.copyOf(texts);
  }
}
