package org.shallothold.experiment.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.Map;
import java.util.TreeMap;
import org.shallothold.core.config.Patch;
import org.shallothold.runtime.platform.EntryCodec;

/**
 * The operators' side of the stand-in platform: publishes patches and the membership list, and sets
 * faults. Created by {@link Fleet}; used by one thread at a time.
 */
public final class PlatformControl {

  private final URI address;
  private final Map<String, ObjectNode> members = new TreeMap<>();

  PlatformControl(URI address) {
    this.address = address;
  }

  /** Publishes a patch and returns its position. */
  public long publish(Patch patch) {
    return JsonHttp.require(
            "POST", address.resolve("config/entries?kind=patch"), EntryCodec.patchBody(patch))
        .path("position")
        .asLong();
  }

  /** Returns a patch against a version. */
  public static Patch patch(long base, String reason, Patch.Items set, Patch.RemovedNames remove) {
    return new Patch(base, "morning pair", "2026-01-01T08:00:00Z", reason, set, remove);
  }

  /** Sets faults; null clears one, as {@code {"down": null}}. */
  public void setFault(String name, Object value) {
    ObjectNode document = JsonHttp.object();
    document.set(name, JsonHttp.MAPPER.valueToTree(value));
    var unused = JsonHttp.send("POST", address.resolve("faults"), document);
  }

  /** Returns the platform's counters of reads. */
  public com.fasterxml.jackson.databind.JsonNode counters() {
    return JsonHttp.get(address.resolve("counters"))
        .orElseThrow(() -> new IllegalStateException("the platform doesn't answer"))
        .json();
  }

  /** Adds a gateway or a sidecar to the membership list, or replaces it. */
  void putMember(String name, String address, String serverId, String domain, boolean leaving) {
    ObjectNode member = JsonHttp.object();
    member.put("process_id", serverId.isEmpty() ? name : "");
    member.put("address", address);
    member.put("server_id", serverId);
    member.put("role", serverId.isEmpty() ? "gateway" : "sidecar");
    member.put("state", leaving ? "leaving" : "live");
    member.put("failure_domain", domain);
    members.put(name, member);
  }

  /** Marks a member as leaving or live and publishes the list. */
  public void setLeaving(String name, boolean leaving) {
    ObjectNode member = members.get(name);
    if (member == null) {
      throw new IllegalArgumentException("no member " + name);
    }
    member.put("state", leaving ? "leaving" : "live");
    publishMembers();
  }

  /** Takes a member off the list and publishes the list. */
  public void removeMember(String name) {
    members.remove(name);
    publishMembers();
  }

  /** Publishes the membership list. */
  void publishMembers() {
    ObjectNode document = JsonHttp.object();
    ArrayNode list = document.putArray("members");
    members.values().forEach(list::add);
    var unused = JsonHttp.send("PUT", address.resolve("members"), document);
  }
}
