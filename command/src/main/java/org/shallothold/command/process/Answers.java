package org.shallothold.command.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.shallothold.command.UnreachableException;
import org.shallothold.command.UsageException;

/** Reads the JSON answers of processes; stateless. */
public final class Answers {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Answers() {}

  /**
   * Returns the JSON of an answer, missing if it is empty.
   *
   * @throws UnreachableException if it is no JSON
   */
  public static JsonNode json(ByteString bytes) {
    try {
      return bytes.isEmpty() ? MissingNode.getInstance() : MAPPER.readTree(bytes.toByteArray());
    } catch (IOException e) {
      throw new UnreachableException("a process answered with what is no JSON");
    }
  }

  /** Returns the addresses of all processes named, at least one. */
  static List<String> processes(CommandLine line) {
    String[] processes = line.getOptionValues("process");
    if (processes == null) {
      throw new UsageException("--process is needed at least once");
    }
    return List.of(processes);
  }
}
