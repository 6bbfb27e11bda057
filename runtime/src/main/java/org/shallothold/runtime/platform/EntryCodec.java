package org.shallothold.runtime.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationEntry.Content;
import org.shallothold.core.config.Patch;

/** Reads and writes the JSON bodies of configuration entries; stateless. */
public final class EntryCodec {

  /** Kind of an entry that holds a patch. */
  public static final String PATCH = "patch";

  /** Kind of an entry that holds a whole configuration. */
  public static final String SNAPSHOT = "snapshot";

  // A key that stands twice or text after the document would be dropped without notice.
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private EntryCodec() {}

  /** Returns an entry; a body that can't be read gives an entry with malformed content. */
  public static ConfigurationEntry decode(long position, String kind, byte @Nullable [] body) {
    byte[] bytes = body == null ? new byte[0] : body;
    return ConfigurationEntry.of(position, kind, bytes, content(kind, bytes));
  }

  /** Returns the body of a snapshot entry. */
  public static byte[] snapshotBody(Configuration configuration, long position) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("version", configuration.version().number());
    node.put("digest", configuration.version().digest());
    node.put("position", position);
    node.set("configuration", ConfigurationJson.write(configuration));
    return bytes(node);
  }

  /** Returns the body of a patch entry, indented for people to read. */
  public static byte[] patchBody(Patch patch) {
    try {
      return MAPPER
          .writerWithDefaultPrettyPrinter()
          .writeValueAsString(ConfigurationJson.write(patch))
          .getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  private static Content content(String kind, byte[] body) {
    try {
      return switch (kind) {
        case PATCH -> new Content.PatchContent(ConfigurationJson.readPatch(json(body)));
        case SNAPSHOT -> ConfigurationJson.readSnapshot(json(body));
        default -> new Content.Malformed("the kind '" + kind + "' is not known");
      };
    } catch (JsonProcessingException e) {
      // Without the place in the source, which Jackson describes differently for other inputs.
      return new Content.Malformed("the body is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      return new Content.Malformed("the body is not UTF-8 text");
    } catch (ConfigurationJson.FormatException e) {
      return new Content.Malformed(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Returns a JSON document, read as strictly as every process reads it.
   *
   * @throws IOException if the bytes are not JSON, hold a key twice or go on after the document
   */
  public static JsonNode json(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
