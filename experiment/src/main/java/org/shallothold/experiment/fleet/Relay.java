package org.shallothold.experiment.fleet;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.shallothold.wire.proto.Envelope;

/**
 * A TCP relay before one listening process. It sorts connections into links by the process that
 * opened them, so that one pair of processes can be cut off while others stay connected. Created by
 * {@link Fleet}; thread-safe; one virtual thread reads and one writes each direction of a
 * connection.
 */
public final class Relay implements AutoCloseable {

  private static final int CHUNK_BYTES = 16_384;
  private static final int QUEUED_CHUNKS = 1_024;
  private static final int LONGEST_HELLO = 65_536;
  private static final int CONNECT_MILLIS = 2_000;
  private static final Chunk END = new Chunk(ByteString.EMPTY, 0);

  /** What a link does with bytes. */
  public enum Mode {
    /** Bytes pass, after the relay's delay. */
    PASS,
    /** Bytes wait in the relay until the link passes again; connections stay open. */
    HOLD,
    /**
     * Bytes are lost. Connections that lost some are closed when the link passes again, since the
     * rest of their bytes would make no sense.
     */
    DROP,
    /** Connections are closed, and new ones are closed as soon as they are accepted. */
    REFUSE
  }

  /** How a connection is assigned to a link. */
  enum Naming {
    /** By the process id in the {@code Hello} that opens every connection between processes. */
    HELLO,
    /** All connections belong to one link, named {@code *}. */
    SINGLE
  }

  /** Bytes with the time at which they may leave the relay; no bytes mark the end. */
  private record Chunk(ByteString bytes, long releaseNanos) {}

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final long delayNanos;
  private final Naming naming;
  private final Map<String, Link> links = new ConcurrentHashMap<>();

  private Relay(ServerSocket listener, InetSocketAddress target, Duration delay, Naming naming) {
    this.listener = listener;
    this.target = target;
    this.delayNanos = delay.toNanos();
    this.naming = naming;
  }

  /**
   * Starts to relay connections.
   *
   * @param delay one-way delay, added to the bytes of each direction
   */
  static Relay start(int listenPort, int targetPort, Duration delay, Naming naming) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try {
      ServerSocket listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(loopback, listenPort), 512);
      Relay relay = new Relay(listener, new InetSocketAddress(loopback, targetPort), delay, naming);
      Thread.ofVirtual().name("relay-" + listenPort).start(relay::acceptAll);
      return relay;
    } catch (IOException e) {
      throw new UncheckedIOException("the relay can't listen on port " + listenPort, e);
    }
  }

  /** Returns the link of a process, also before its first connection. */
  public Link link(String processId) {
    return links.computeIfAbsent(processId, name -> new Link());
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    closeQuietly(listener);
    links.values().forEach(Link::closeConnections);
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Thread.ofVirtual().start(() -> connect(client));
      } catch (IOException e) {
        // The listener was closed, or a client was gone before it was accepted.
      }
    }
  }

  private void connect(Socket client) {
    try {
      client.setTcpNoDelay(true);
      byte[] start = naming == Naming.HELLO ? readFrame(client.getInputStream()) : new byte[0];
      Link link = link(naming == Naming.HELLO ? processId(start) : "*");
      if (link.mode() == Mode.REFUSE) {
        client.close();
        return;
      }
      Socket server = new Socket();
      server.setTcpNoDelay(true);
      Connection connection = new Connection(client, server);
      link.connections.add(connection);
      server.connect(target, CONNECT_MILLIS);
      startDirection(link, connection, client, server, start);
      startDirection(link, connection, server, client, new byte[0]);
    } catch (IOException e) {
      closeQuietly(client);
    }
  }

  private void startDirection(
      Link link, Connection connection, Socket from, Socket to, byte[] start) {
    BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(QUEUED_CHUNKS);
    if (start.length > 0) {
      queue.add(new Chunk(ByteString.copyFrom(start), System.nanoTime() + delayNanos));
    }
    Thread.ofVirtual().start(() -> readAll(from, queue));
    Thread.ofVirtual().start(() -> writeAll(link, connection, queue, to));
  }

  private void readAll(Socket from, BlockingQueue<Chunk> queue) {
    byte[] buffer = new byte[CHUNK_BYTES];
    try {
      InputStream input = from.getInputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        queue.put(new Chunk(ByteString.copyFrom(buffer, 0, count), System.nanoTime() + delayNanos));
      }
    } catch (IOException e) {
      // A reset ends the direction as an orderly close does.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    putEnd(queue);
  }

  private static void putEnd(BlockingQueue<Chunk> queue) {
    try {
      queue.put(END);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void writeAll(
      Link link, Connection connection, BlockingQueue<Chunk> queue, Socket to) {
    try {
      OutputStream output = to.getOutputStream();
      for (Chunk chunk = queue.take(); !chunk.bytes().isEmpty(); chunk = queue.take()) {
        TimeUnit.NANOSECONDS.sleep(chunk.releaseNanos() - System.nanoTime());
        if (link.awaitPassage() == Mode.DROP) {
          connection.tainted = true;
        }
        if (!connection.tainted) {
          chunk.bytes().writeTo(output);
        }
      }
      link.awaitPassage();
    } catch (IOException e) {
      // The other side is gone, which ends the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    connection.close();
    link.connections.remove(connection);
  }

  /** Reads one length-prefixed frame and returns it with its prefix. */
  private static byte[] readFrame(InputStream input) throws IOException {
    ByteArrayOutputStream frame = new ByteArrayOutputStream();
    int length = 0;
    int shift = 0;
    int next;
    do {
      next = input.read();
      if (next < 0 || shift > 28) {
        throw new IOException("the connection doesn't start with a frame");
      }
      frame.write(next);
      length |= (next & 0x7f) << shift;
      shift += 7;
    } while ((next & 0x80) != 0);
    if (length > LONGEST_HELLO) {
      throw new IOException("the first frame has " + length + " bytes");
    }
    byte[] body = new byte[length];
    new DataInputStream(input).readFully(body);
    frame.write(body);
    return frame.toByteArray();
  }

  private static String processId(byte[] frame) throws IOException {
    int start = 0;
    while ((frame[start] & 0x80) != 0) {
      start++;
    }
    byte[] body = Arrays.copyOfRange(frame, start + 1, frame.length);
    return Envelope.parseFrom(body).getHello().getProcessId();
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // Nothing is left to do for a socket that can't be closed.
    }
  }

  /** Both sockets of a relayed connection. */
  private static final class Connection {

    private final Socket client;
    private final Socket server;
    private volatile boolean tainted;

    Connection(Socket client, Socket server) {
      this.client = client;
      this.server = server;
    }

    void close() {
      closeQuietly(client);
      closeQuietly(server);
    }
  }

  /** The connections that one process opened through the relay. Thread-safe. */
  public static final class Link {

    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private Mode mode = Mode.PASS;

    private Link() {}

    /** Sets what happens to bytes from now on. */
    public synchronized void set(Mode newMode) {
      mode = newMode;
      if (newMode == Mode.REFUSE) {
        closeConnections();
      } else if (newMode == Mode.PASS) {
        connections.stream().filter(item -> item.tainted).forEach(Connection::close);
      }
      notifyAll();
    }

    /** Returns what happens to bytes. */
    public synchronized Mode mode() {
      return mode;
    }

    private synchronized Mode awaitPassage() throws InterruptedException {
      while (mode == Mode.HOLD) {
        wait();
      }
      return mode;
    }

    private void closeConnections() {
      connections.forEach(Connection::close);
      connections.clear();
    }
  }
}
