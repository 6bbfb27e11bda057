package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.shallothold.standin.http.Exchange;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.RequestException;
import org.shallothold.standin.http.ServerLoop;

/**
 * Commands to an engine with their fencing numbers, and what they change: the loaded models and the
 * role. Called only on the server's thread.
 */
final class EngineCommands {

  private static final int MAX_LOG_ENTRIES = 1_000;

  private final boolean checksFencing;
  private final long modelLoadMillis;
  private final ServerLoop loop;

  private final Set<String> models;
  private String role = "mixed";
  private long highestNumber;
  private final Deque<ObjectNode> log = new ArrayDeque<>();

  /**
   * Creates the state of an engine that got no command yet.
   *
   * @param checksFencing whether a command with an old fencing number is rejected
   * @param modelLoadMillis time until a model can be used after the command to load it
   */
  EngineCommands(
      Collection<String> models, boolean checksFencing, long modelLoadMillis, ServerLoop loop) {
    this.models = new LinkedHashSet<>(models);
    this.checksFencing = checksFencing;
    this.modelLoadMillis = modelLoadMillis;
    this.loop = loop;
  }

  /** Returns the loaded models, the one loaded first at the front. */
  Set<String> models() {
    return models;
  }

  /** Returns the engine's role. */
  String role() {
    return role;
  }

  /** Answers {@code POST /commands}. */
  void command(Exchange exchange) {
    ObjectNode command = exchange.json();
    long number = Json.integer(command, "fencing_number", -1, value -> value >= 0);
    if (number < 0) {
      throw RequestException.badRequest("fencing_number is missing");
    }
    Runnable change = change(command);
    boolean old = number < highestNumber;
    boolean rejected = old && checksFencing;
    log.addLast(command.deepCopy().put("old", old).put("applied", !rejected));
    if (log.size() > MAX_LOG_ENTRIES) {
      log.removeFirst();
    }
    if (rejected) {
      ObjectNode answer =
          Json.error("old_fencing_number", "a command with a higher fencing number was seen");
      exchange.respond(409, answer.put("highest_fencing_number", highestNumber));
      return;
    }
    highestNumber = Math.max(highestNumber, number);
    change.run();
    exchange.respond(200, Json.object().put("highest_fencing_number", highestNumber));
  }

  /** Returns the highest fencing number and the latest commands, oldest first. */
  ObjectNode toJson() {
    ObjectNode document =
        Json.object()
            .put("highest_fencing_number", highestNumber)
            .put("checks_fencing", checksFencing);
    ArrayNode array = document.putArray("log");
    log.forEach(array::add);
    return document;
  }

  private Runnable change(ObjectNode command) {
    String name = command.path("command").asText();
    return switch (name) {
      case "load_model" -> {
        String model = text(command, "model");
        yield () -> load(model);
      }
      case "unload_model" -> {
        String model = text(command, "model");
        yield () -> models.remove(model);
      }
      case "change_role" -> {
        String newRole = text(command, "role");
        yield () -> role = newRole;
      }
      default ->
          throw RequestException.badRequest(
              "command must be load_model, unload_model or change_role: " + name);
    };
  }

  private void load(String model) {
    if (modelLoadMillis == 0) {
      models.add(model);
    } else {
      var unused = loop.schedule(Duration.ofMillis(modelLoadMillis), () -> models.add(model));
    }
  }

  private static String text(ObjectNode command, String field) {
    String text = command.path(field).asText();
    if (text.isEmpty()) {
      throw RequestException.badRequest(field + " is missing");
    }
    return text;
  }
}
