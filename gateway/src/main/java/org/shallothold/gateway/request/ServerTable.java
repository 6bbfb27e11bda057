package org.shallothold.gateway.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.membership.Member;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.core.routing.SubsetSelector;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.LeavingNotice;

/**
 * The sidecars that this gateway connects to, derived from the configuration and the membership
 * list. Confined to the router thread.
 */
final class ServerTable {

  private final Links links;
  private final SubsetSelector selector;
  private final Map<LinkKey, ServerState> states = new LinkedHashMap<>();
  private final Map<String, Set<String>> subsets = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private MembershipView members = MembershipView.EMPTY;

  ServerTable(Links links, SubsetSelector selector) {
    this.links = links;
    this.selector = selector;
  }

  Configuration configuration() {
    return configuration;
  }

  /** Returns all servers, including retired ones with requests left. */
  Collection<ServerState> states() {
    return states.values();
  }

  @Nullable ServerState state(LinkKey key) {
    return states.get(key);
  }

  /** Returns the state of a server at its current address, or null if it has none. */
  @Nullable ServerState current(String serverId) {
    return configuration
        .server(serverId)
        .map(server -> states.get(new LinkKey(serverId, server.address())))
        .orElse(null);
  }

  /** Returns the servers of a class within this gateway's subset. */
  List<ServerState> serversOfClass(String serviceClass) {
    return subsets.getOrDefault(serviceClass, Set.of()).stream()
        .flatMap(id -> Optional.ofNullable(current(id)).stream())
        .toList();
  }

  void configurationChanged(Configuration updated) {
    configuration = updated;
    refresh();
  }

  void membersChanged(MembershipView updated) {
    MembershipView previous = members;
    members = updated;
    Set<String> gateways = new HashSet<>();
    updated.members().stream()
        .filter(member -> member.role() == Member.Role.GATEWAY && !member.leaving())
        .forEach(member -> gateways.add(member.processId()));
    selector.setLiveGateways(gateways);
    for (ServerState state : states.values()) {
      boolean leavingNow = updated.isLeaving(state.id());
      // Only changes are applied: the list lags, and the sidecar may have been replaced since.
      if (leavingNow != previous.isLeaving(state.id())) {
        state.leaving(leavingNow);
        notifyLeaving(state, "members");
      }
    }
    refresh();
  }

  /**
   * Registers a new connection to a sidecar.
   *
   * @return the server's state, or null if the key is unknown or the sidecar of another server
   *     answers at the address
   */
  @Nullable ServerState connected(
      LinkKey key, PeerConnection connection, Hello hello, long nowMillis) {
    ServerState state = states.get(key);
    if (state == null || !hello.getServerId().equals(key.serverId())) {
      return null;
    }
    boolean wasLeaving = state.isLeaving();
    state.connected(connection, hello.getIncarnation(), hello.getLeaving(), nowMillis);
    if (wasLeaving && state.isLeaving() && !hello.getLeaving()) {
      notifyLeaving(state, "members");
    }
    return state;
  }

  /** Closes the connection of a retired server once it has no requests left. */
  void closeIfUnused(ServerState state) {
    if (state.isRetired() && state.requests().isEmpty()) {
      states.remove(state.key());
      links.close(state.key());
    }
  }

  private static void notifyLeaving(ServerState state, String source) {
    PeerConnection connection = state.connection();
    if (state.isLeaving() && connection != null) {
      connection.send(
          Envelope.newBuilder()
              .setLeavingNotice(
                  LeavingNotice.newBuilder().setServerId(state.id()).setSource(source))
              .build());
    }
  }

  private void refresh() {
    Map<LinkKey, BackendServer> required = new LinkedHashMap<>();
    subsets.clear();
    configuration
        .classes()
        .values()
        .forEach(
            serviceClass -> {
              Set<String> subset = subset(serviceClass.servers());
              subsets.put(serviceClass.name(), subset);
              subset.forEach(id -> addRequired(required, id));
            });
    required.forEach(this::open);
    for (ServerState state : List.copyOf(states.values())) {
      if (!required.containsKey(state.key())) {
        state.retire();
        closeIfUnused(state);
      }
    }
  }

  /**
   * Returns the servers to connect to: a subset of the engines and all plain services, because an
   * order must reach the server named by its ticket.
   */
  private Set<String> subset(List<String> serverIds) {
    List<SubsetSelector.Candidate> engines =
        serverIds.stream()
            .flatMap(id -> configuration.server(id).stream())
            .filter(server -> server.kind() == BackendServer.Kind.ENGINE)
            .map(server -> new SubsetSelector.Candidate(server.id(), server.failureDomain()))
            .toList();
    Set<String> subset = new HashSet<>(selector.select(engines));
    serverIds.stream()
        .flatMap(id -> configuration.server(id).stream())
        .filter(server -> server.kind() == BackendServer.Kind.SERVICE)
        .forEach(server -> subset.add(server.id()));
    return subset;
  }

  private void addRequired(Map<LinkKey, BackendServer> required, String id) {
    configuration
        .server(id)
        .ifPresent(server -> required.put(new LinkKey(id, server.address()), server));
  }

  private void open(LinkKey key, BackendServer server) {
    ServerState existing = states.get(key);
    if (existing != null) {
      existing.server(server);
      return;
    }
    ServerState state = new ServerState(key, server);
    state.leaving(members.isLeaving(key.serverId()));
    states.put(key, state);
    links.open(key);
  }
}
