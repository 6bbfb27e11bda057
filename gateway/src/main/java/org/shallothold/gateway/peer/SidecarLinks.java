package org.shallothold.gateway.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.gateway.request.LinkKey;
import org.shallothold.gateway.request.Links;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * The gateway's connections to sidecars. Passes configuration messages to the configuration sync
 * and all other events to the thread that owns the requests. Thread-safe; created once per gateway.
 */
public final class SidecarLinks implements Links, AutoCloseable {

  private static final Logger LOGGER = System.getLogger(SidecarLinks.class.getName());

  private final EventLoopGroup group;
  private final ConnectionLimits limits;
  private final ConfigurationSync sync;
  private final Consumer<GatewayEvent> events;
  private final @Nullable SslContext tls;
  private final Map<LinkKey, PeerClient> clients = new ConcurrentHashMap<>();

  private SidecarLinks(
      EventLoopGroup group,
      ConnectionLimits limits,
      ConfigurationSync sync,
      Consumer<GatewayEvent> events,
      @Nullable SslContext tls) {
    this.group = group;
    this.limits = limits;
    this.sync = sync;
    this.events = events;
    this.tls = tls;
  }

  /**
   * Returns links without any connection.
   *
   * @param events receives the events; may block until there is room
   * @param tls context for mutual TLS, or null for plain TCP
   */
  public static SidecarLinks create(
      EventLoopGroup group,
      ConnectionLimits limits,
      ConfigurationSync sync,
      Consumer<GatewayEvent> events,
      @Nullable SslContext tls) {
    return new SidecarLinks(group, limits, sync, events, tls);
  }

  @Override
  public void open(LinkKey key) {
    InetSocketAddress address = SettingsDocument.address(key.address());
    if (address != null) {
      clients.computeIfAbsent(
          key,
          name ->
              PeerClient.start(
                  group, address, limits, () -> sync.hello(false), new Listener(name), tls));
    }
  }

  @Override
  public void close(LinkKey key) {
    PeerClient client = clients.remove(key);
    if (client != null) {
      client.close();
    }
  }

  @Override
  public void close() {
    clients.values().forEach(PeerClient::close);
  }

  private final class Listener implements PeerListener {

    private final LinkKey key;

    Listener(LinkKey key) {
      this.key = key;
    }

    @Override
    public void connected(PeerConnection connection, Hello hello) {
      LOGGER.log(Logger.Level.INFO, "connected to the sidecar of {0}", key.serverId());
      sync.connected(connection, hello);
      events.accept(new GatewayEvent.PeerConnected(key, connection, hello));
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
      if (!sync.received(connection, envelope)) {
        events.accept(new GatewayEvent.PeerMessage(key, connection, envelope));
      }
    }

    @Override
    public void disconnected(PeerConnection connection) {
      LOGGER.log(Logger.Level.INFO, "disconnected from the sidecar of {0}", key.serverId());
      sync.disconnected(connection);
      events.accept(new GatewayEvent.PeerDisconnected(key, connection));
    }
  }
}
