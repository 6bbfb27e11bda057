package org.shallothold.experiment.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.OptionalInt;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.JsonHttp;
import org.shallothold.standin.engine.AnswerText;

/**
 * A request for a completion. Immutable.
 *
 * @param prompt the user's message; different prompts have different answers
 * @param length tokens of the whole answer
 * @param stream whether the answer comes token by token
 * @param serviceClass class to ask for; empty for the customer's default
 * @param customer whose key is sent
 * @param timeout after which the caller closes the connection
 */
public record CompletionRequest(
    String prompt,
    int length,
    boolean stream,
    String serviceClass,
    String customer,
    Duration timeout) {

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(40);

  /** Returns a streamed request of the customer {@code miller} in its default class. */
  public static CompletionRequest of(String prompt, int length) {
    return new CompletionRequest(prompt, length, true, "", "miller", DEFAULT_TIMEOUT);
  }

  /** Returns the request with the answer in one piece. */
  public CompletionRequest whole() {
    return new CompletionRequest(prompt, length, false, serviceClass, customer, timeout);
  }

  /** Returns the request in a class. */
  public CompletionRequest in(String newClass) {
    return new CompletionRequest(prompt, length, stream, newClass, customer, timeout);
  }

  /** Returns the request of another customer. */
  public CompletionRequest from(String newCustomer) {
    return new CompletionRequest(prompt, length, stream, serviceClass, newCustomer, timeout);
  }

  /** Returns the request of a caller that waits for a time only. */
  public CompletionRequest withTimeout(Duration newTimeout) {
    return new CompletionRequest(prompt, length, stream, serviceClass, customer, newTimeout);
  }

  /** Returns the text that every engine gives as the complete answer. */
  public String expectedText() {
    AnswerText answer = AnswerText.of(messages(), OptionalInt.empty(), OptionalInt.of(length));
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < length; index++) {
      text.append(answer.token(index));
    }
    return text.toString();
  }

  /** Returns the JSON body. */
  byte[] body() {
    ObjectNode document = JsonHttp.object();
    document.put("model", FleetPlan.MODEL).put("stream", stream).put("length_hint", length);
    document.set("messages", messages());
    return document.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  private ArrayNode messages() {
    ArrayNode messages = JsonHttp.MAPPER.createArrayNode();
    messages.addObject().put("role", "user").put("content", prompt);
    return messages;
  }
}
