package org.shallothold.runtime.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.membership.MembershipView;

/**
 * A platform in memory, with the faults that the design names. It is a source itself, and can serve
 * the protocol of docs/design.md, section 18, over HTTP.
 */
public final class FakePlatform implements ConfigurationSource {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<ConfigurationEntry> entries = new ArrayList<>();
  private int visible = Integer.MAX_VALUE;
  private int pageSize = Integer.MAX_VALUE;
  private boolean down;

  /** Publishes a body and returns its position. */
  public synchronized long publish(String kind, byte[] body) {
    entries.add(EntryCodec.decode(entries.size() + 1, kind, body));
    notifyAll();
    return entries.size();
  }

  public synchronized void down(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  /** Shows only the first entries. */
  public synchronized void staleAt(int position) {
    visible = position;
  }

  /** Drops the entries after a position, so that later ones reuse their positions. */
  public synchronized void rollBackTo(int position) {
    entries.subList(position, entries.size()).clear();
  }

  public synchronized void pageSize(int size) {
    pageSize = size;
  }

  @Override
  public synchronized List<ConfigurationEntry> entriesAfter(long afterPosition, long waitMillis) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    while (page(afterPosition).isEmpty() && System.nanoTime() < deadline) {
      try {
        wait(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw PlatformException.of("interrupted", e);
      }
    }
    return page(afterPosition);
  }

  private List<ConfigurationEntry> page(long afterPosition) {
    if (down) {
      throw PlatformException.of("down", null);
    }
    return entries.stream()
        .limit(visible)
        .filter(entry -> entry.position() > afterPosition)
        .limit(pageSize)
        .toList();
  }

  @Override
  public synchronized Optional<ConfigurationEntry> snapshot() {
    return page(0).stream()
        .filter(entry -> entry.kind().equals(EntryCodec.SNAPSHOT))
        .reduce((first, second) -> second);
  }

  @Override
  public synchronized MembershipView members() {
    page(0);
    return MembershipView.EMPTY;
  }

  /** Serves over HTTP on loopback until closed. */
  public Server serve() throws IOException {
    return new Server(this);
  }

  /** The HTTP side. */
  public static final class Server implements AutoCloseable {

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    private Server(FakePlatform platform) throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
      server.setExecutor(threads);
      server.createContext("/", exchange -> answer(platform, exchange));
      server.start();
    }

    /** Returns the base address. */
    public URI uri() {
      return URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/");
    }

    /** Answers a path with a fixed text from now on. */
    public void fix(String path, int status, String body) {
      server.createContext(path, exchange -> respond(exchange, status, body.getBytes(UTF_8)));
    }

    @Override
    public void close() {
      server.stop(0);
      threads.shutdownNow();
    }

    private static void answer(FakePlatform platform, HttpExchange exchange) throws IOException {
      ObjectNode document = MAPPER.createObjectNode();
      int status = 200;
      try {
        switch (exchange.getRequestURI().getPath()) {
          case "/config/entries" -> {
            String[] query = exchange.getRequestURI().getQuery().split("[=&]", -1);
            var array = document.putArray("entries");
            platform
                .entriesAfter(Long.parseLong(query[1]), Long.parseLong(query[3]))
                .forEach(entry -> array.add(json(entry)));
          }
          case "/config/snapshot" -> {
            Optional<ConfigurationEntry> snapshot = platform.snapshot();
            status = snapshot.isPresent() ? 200 : 404;
            document = snapshot.map(Server::json).orElse(document);
          }
          case "/members" ->
              document
                  .putArray("members")
                  .add(member("gateway-1", "gateway", "live"))
                  .add(member("engine-1", "sidecar", "leaving"));
          default -> status = 404;
        }
      } catch (PlatformException e) {
        status = 503;
      }
      respond(exchange, status, MAPPER.writeValueAsBytes(document));
    }

    private static ObjectNode member(String id, String role, String state) {
      return MAPPER
          .createObjectNode()
          .put("address", "127.0.0.1:1")
          .put("server_id", id)
          .put("role", role)
          .put("state", state)
          .put("failure_domain", "hopper-hall");
    }

    private static ObjectNode json(ConfigurationEntry entry) {
      return MAPPER
          .createObjectNode()
          .put("position", entry.position())
          .put("kind", entry.kind())
          .put("body", entry.body());
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
      exchange.close();
    }
  }
}
