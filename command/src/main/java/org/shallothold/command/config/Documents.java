package org.shallothold.command.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.shallothold.command.CommandOptions;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;
import org.shallothold.core.config.Patch;
import org.shallothold.runtime.platform.ConfigurationJson;
import org.shallothold.runtime.platform.EntryCodec;

/** Reads the documents that operators keep in files; stateless. */
final class Documents {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Documents() {}

  /** A document of one of the known kinds. */
  sealed interface Document {

    /** A patch. */
    record PatchDocument(Patch patch) implements Document {}

    /** A snapshot, or the output of {@code config show --output json}. */
    record SnapshotDocument(SnapshotContent snapshot) implements Document {}

    /** A document that can't be used, with all its problems. */
    record Unusable(List<String> problems) implements Document {}
  }

  /** Returns the document of a file. */
  static Document read(String file) {
    byte[] bytes = CommandOptions.readFile(file);
    try {
      JsonNode node = EntryCodec.json(bytes);
      if (node.has("configuration") || node.has("digest")) {
        return new Document.SnapshotDocument(ConfigurationJson.readSnapshot(node));
      }
      return new Document.PatchDocument(ConfigurationJson.readPatch(node));
    } catch (ConfigurationJson.FormatException e) {
      return new Document.Unusable(e.problems());
    } catch (JsonProcessingException e) {
      String place = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
      return new Document.Unusable(List.of(place + "not JSON: " + e.getOriginalMessage()));
    } catch (IOException e) {
      return new Document.Unusable(List.of("not UTF-8 text"));
    }
  }

  /** Returns the JSON form of a snapshot. */
  static JsonNode snapshot(Configuration configuration, long position) {
    return tree(EntryCodec.snapshotBody(configuration, position));
  }

  /** Returns the JSON form of a patch. */
  static JsonNode patch(Patch patch) {
    return ConfigurationJson.write(patch);
  }

  /** Returns a patch document as it is published, with a line end. */
  static String patchText(Patch patch) {
    return new String(EntryCodec.patchBody(patch), StandardCharsets.UTF_8) + "\n";
  }

  private static JsonNode tree(byte[] json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException e) {
      throw new IllegalStateException("a document written here can be read", e);
    }
  }
}
