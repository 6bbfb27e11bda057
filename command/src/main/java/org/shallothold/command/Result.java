package org.shallothold.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What a subcommand found.
 *
 * @param exitCode exit code of the process
 * @param text for {@code --output text}, with its line ends
 * @param json for {@code --output json}
 * @param notes lines for standard error in both cases
 */
public record Result(int exitCode, String text, JsonNode json, List<String> notes) {

  /** The command did what was asked. */
  public static final int SUCCESS = 0;

  /** The answer is negative, as for an invalid patch. */
  public static final int NEGATIVE = 1;

  /** The command line or a settings file is wrong. */
  public static final int USAGE = 2;

  /** A process or the platform could not be reached. */
  public static final int UNREACHABLE = 3;

  /** Copies the list. */
  public Result {
    notes = List.copyOf(notes);
  }

  /** Returns a result without notes. */
  public static Result of(int exitCode, String text, JsonNode json) {
    return new Result(exitCode, text, json, List.of());
  }
}
