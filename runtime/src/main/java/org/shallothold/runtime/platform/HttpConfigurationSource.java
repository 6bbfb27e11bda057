package org.shallothold.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.membership.Member;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.runtime.http.SingleUseHttpClient;

/** Reads the platform over HTTP; the paths are in docs/design.md, section 18. */
public final class HttpConfigurationSource implements ConfigurationSource {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final URI base;
  private final SingleUseHttpClient client;

  private HttpConfigurationSource(URI base, SingleUseHttpClient client) {
    this.base = base;
    this.client = client;
  }

  /** Returns a source that reads from a base address, as {@code http://127.0.0.1:7100/}. */
  public static HttpConfigurationSource of(URI base, SingleUseHttpClient client) {
    return new HttpConfigurationSource(base, client);
  }

  @Override
  public List<ConfigurationEntry> entriesAfter(long afterPosition, long waitMillis) {
    HttpResponse<byte[]> response =
        get(
            "config/entries?after=" + afterPosition + "&wait_ms=" + waitMillis,
            ANSWER_TIMEOUT.plusMillis(waitMillis));
    List<ConfigurationEntry> entries = new ArrayList<>();
    for (JsonNode node : array(json(response), "entries")) {
      entries.add(entry(node));
    }
    return entries;
  }

  @Override
  public Optional<ConfigurationEntry> snapshot() {
    HttpResponse<byte[]> response = send("config/snapshot", ANSWER_TIMEOUT);
    return response.statusCode() == 404
        ? Optional.empty()
        : Optional.of(entry(json(checked(response))));
  }

  @Override
  public MembershipView members() {
    List<Member> members = new ArrayList<>();
    for (JsonNode node : array(json(get("members", ANSWER_TIMEOUT)), "members")) {
      boolean sidecar = node.path("role").asText().equals("sidecar");
      members.add(
          new Member(
              node.path(sidecar || !node.has("process_id") ? "server_id" : "process_id").asText(),
              sidecar ? Member.Role.SIDECAR : Member.Role.GATEWAY,
              node.path("failure_domain").asText(),
              node.path("state").asText().equals("leaving")));
    }
    return new MembershipView(members);
  }

  private HttpResponse<byte[]> get(String path, Duration timeout) {
    return checked(send(path, timeout));
  }

  private static HttpResponse<byte[]> checked(HttpResponse<byte[]> response) {
    if (response.statusCode() != 200) {
      throw PlatformException.of(
          "the platform answered with status " + response.statusCode(), null);
    }
    return response;
  }

  private HttpResponse<byte[]> send(String path, Duration timeout) {
    HttpRequest request = HttpRequest.newBuilder(base.resolve(path)).timeout(timeout).build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      throw PlatformException.of("the platform can't be reached: " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw PlatformException.of("reading the platform was interrupted", e);
    }
  }

  private static JsonNode json(HttpResponse<byte[]> response) {
    try {
      return MAPPER.readTree(response.body());
    } catch (IOException e) {
      throw PlatformException.of("the platform's answer is not JSON", e);
    }
  }

  private static JsonNode array(JsonNode document, String key) {
    JsonNode array = document.path(key);
    if (!array.isArray()) {
      throw PlatformException.of("the platform's answer has no array " + key, null);
    }
    return array;
  }

  // An entry that isn't understood here must not be taken as one with an empty body: other
  // processes may have read it rightly, and the histories would differ.
  private static ConfigurationEntry entry(JsonNode node) {
    if (!node.path("position").canConvertToLong()
        || node.path("position").longValue() < 1
        || !node.path("kind").isTextual()
        || !node.path("body").isTextual()) {
      throw PlatformException.of("an entry lacks its position, kind or body", null);
    }
    try {
      return EntryCodec.decode(
          node.path("position").longValue(),
          node.path("kind").textValue(),
          node.path("body").binaryValue());
    } catch (IOException e) {
      throw PlatformException.of("an entry's body is not base64", e);
    }
  }
}
