package org.shallothold.command.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.jspecify.annotations.Nullable;
import org.shallothold.command.UnreachableException;
import org.shallothold.command.UsageException;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;
import org.shallothold.runtime.sync.WireVersions;
import org.shallothold.runtime.tls.TlsContexts;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/**
 * A connection to one running process, over which one question at a time is asked. Used by one
 * thread; ends with {@link #close}.
 */
public final class OperatorConnection implements AutoCloseable {

  private static final long ANSWER_SECONDS = 5;

  private final String address;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<PeerConnection> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<Envelope> answers = new LinkedBlockingQueue<>();
  private final PeerClient client;
  private @Nullable PeerConnection connection;

  private OperatorConnection(String address, InetSocketAddress socketAddress, TlsContexts tls) {
    this.address = address;
    ProcessIdentity identity = ProcessIdentity.create("operator", Role.ROLE_OPERATOR, "", "");
    Hello hello =
        Hello.newBuilder()
            .setProcessId(identity.processId())
            .setRole(identity.role())
            .setIncarnation(identity.incarnation())
            .setVersion(WireVersions.toWire(ConfigurationVersion.INITIAL))
            .build();
    this.client =
        PeerClient.start(
            group, socketAddress, ConnectionLimits.DEFAULT, () -> hello, listener(), tls.client());
  }

  /**
   * Connects to a process.
   *
   * @param address IP address and port, as {@code 127.0.0.1:9080}
   * @param line command line that may name the file of the TLS settings
   * @throws UsageException if the address or the TLS settings are wrong
   * @throws UnreachableException if the process doesn't answer in time
   */
  public static OperatorConnection open(String address, CommandLine line) {
    InetSocketAddress socketAddress = SettingsDocument.address(address);
    if (socketAddress == null) {
      throw new UsageException(
          "--process is " + address + "; an IP address and port is needed, as 127.0.0.1:9080");
    }
    OperatorConnection opened = new OperatorConnection(address, socketAddress, tls(line));
    try {
      opened.connection =
          opened.connections.poll(ConnectionLimits.DEFAULT.connectMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (opened.connection == null) {
      opened.close();
      throw new UnreachableException("the process " + address + " can't be reached");
    }
    return opened;
  }

  /** Returns what the process said of itself. */
  public Hello hello() {
    return Objects.requireNonNull(Objects.requireNonNull(connection).remoteHello());
  }

  /**
   * Sends a question and returns the first answer of a kind; other messages are passed over.
   *
   * @throws UnreachableException if there is no answer in time
   */
  public Envelope ask(Envelope question, Envelope.MessageCase kind) {
    answers.clear();
    if (Objects.requireNonNull(connection).send(question)) {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWER_SECONDS);
      try {
        for (Envelope answer = next(deadline); answer != null; answer = next(deadline)) {
          if (answer.getMessageCase() == kind) {
            return answer;
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    throw new UnreachableException("the process " + address + " did not answer");
  }

  @Override
  public void close() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private @Nullable Envelope next(long deadline) throws InterruptedException {
    return answers.poll(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
  }

  private PeerListener listener() {
    return new PeerListener() {
      @Override
      public void connected(PeerConnection opened, Hello hello) {
        connections.add(opened);
      }

      @Override
      public void received(PeerConnection from, Envelope envelope) {
        answers.add(envelope);
      }

      @Override
      public void disconnected(PeerConnection lost) {}
    };
  }

  private static TlsContexts tls(CommandLine line) {
    try {
      SettingsDocument settings =
          line.hasOption("tls")
              ? SettingsDocument.read(Path.of(line.getOptionValue("tls")))
              : SettingsDocument.parse("(none)", "");
      TlsContexts contexts = TlsContexts.read(settings);
      settings.finishSection("tls");
      return contexts;
    } catch (SettingsException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
  }
}
