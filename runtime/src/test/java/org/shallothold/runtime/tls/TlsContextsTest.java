package org.shallothold.runtime.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.util.InsecureTrustManagerFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/** Guards the way in: only a process with a certificate of the fleet's authority is a peer. */
class TlsContextsTest {

  @TempDir private static Path directory;

  @SuppressWarnings("NullAway.Init")
  private static TestStores stores;

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final BlockingQueue<String> accepted = new LinkedBlockingQueue<>();

  @BeforeAll
  static void makeStores() throws Exception {
    stores = TestStores.in(directory);
    stores.authority("fleet");
    stores.authority("stranger");
    stores.signed("gateway", "fleet");
    stores.signed("sidecar", "fleet");
    stores.signed("impostor", "stranger");
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private final PeerListener listener =
      new PeerListener() {
        @Override
        public void connected(PeerConnection connection, Hello hello) {
          accepted.add(hello.getProcessId());
        }

        @Override
        public void received(PeerConnection connection, Envelope envelope) {}

        @Override
        public void disconnected(PeerConnection connection) {}
      };

  private static TlsContexts contexts(String key, String authority) {
    SettingsDocument settings = stores.settings(key, authority);
    TlsContexts contexts = TlsContexts.read(settings);
    settings.finish();
    return contexts;
  }

  private PeerClient connect(int port, String id, @Nullable SslContext tls) {
    return PeerClient.start(
        group,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        ConnectionLimits.DEFAULT,
        () -> Hello.newBuilder().setProcessId(id).build(),
        listener,
        tls);
  }

  /** The intruder comes first and tries again and again; only the member must be heard of. */
  private void expectOnlyTheMember(@Nullable SslContext intruderTls) throws Exception {
    TlsContexts member = contexts("gateway", "fleet");
    try (PeerServer server =
            PeerServer.bind(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ConnectionLimits.DEFAULT,
                () -> Hello.newBuilder().setProcessId("server").build(),
                listener,
                contexts("sidecar", "fleet").server());
        PeerClient _ = connect(server.port(), "intruder", intruderTls)) {
      Thread.sleep(300);
      try (PeerClient _ = connect(server.port(), "member", member.client())) {
        String first = String.valueOf(accepted.poll(30, TimeUnit.SECONDS));
        String second = String.valueOf(accepted.poll(30, TimeUnit.SECONDS));
        assertEquals(Set.of("server", "member"), new TreeSet<>(List.of(first, second)));
      }
    }
    assertNull(accepted.poll(), "nobody but the member and the server may be greeted");
  }

  @Test
  void plainConnectionIsRefused() throws Exception {
    expectOnlyTheMember(null);
  }

  @Test
  void peerWithoutCertificateIsRefused() throws Exception {
    expectOnlyTheMember(
        SslContextBuilder.forClient()
            .trustManager(InsecureTrustManagerFactory.INSTANCE)
            .endpointIdentificationAlgorithm(null)
            .build());
  }

  @Test
  void peerOfAnotherAuthorityIsRefused() throws Exception {
    expectOnlyTheMember(contexts("impostor", "fleet").client());
  }

  @Test
  void serverOfAnotherAuthorityIsRefused() throws Exception {
    expectOnlyTheMember(contexts("gateway", "stranger").client());
  }

  @Test
  void olderProtocolIsNotOffered() throws Exception {
    SslContext server = Objects.requireNonNull(contexts("sidecar", "fleet").server());
    assertEquals(
        List.of("TLSv1.3"),
        List.of(server.newEngine(ByteBufAllocator.DEFAULT).getEnabledProtocols()));
  }

  @Test
  void problemsOfTheFilesAreProblemsOfTheSettings() throws Exception {
    Files.writeString(directory.resolve("wrong-password"), "guess\n");
    Files.writeString(directory.resolve("no.p12"), "no store\n");
    StringBuilder messages = new StringBuilder();
    for (String[] files :
        new String[][] {
          {stores.store("gateway"), stores.trust("fleet"), stores.path("missing")},
          {stores.store("gateway"), stores.trust("fleet"), stores.path("wrong-password")},
          {stores.path("no.p12"), stores.path("missing"), stores.path("password")},
          {stores.trust("fleet"), stores.store("gateway"), stores.path("password")},
        }) {
      messages.append(
          problems(
              "[tls]\nkey_store_file = '%s'\ntrust_store_file = '%s'\npassword_file = '%s'\n"
                  .formatted((Object[]) files)));
    }
    messages.append(problems("[tls]\nkey_store_file = 7\n")).append(problems("[tls]\n"));
    Approvals.verify(messages.toString().replace(directory.toString(), "DIRECTORY"));
  }

  private static String problems(String text) {
    SettingsDocument settings = SettingsDocument.parse("test.toml", text);
    TlsContexts contexts = TlsContexts.read(settings);
    assertNull(contexts.server());
    return assertThrows(SettingsException.class, settings::finish).getMessage() + "\n\n";
  }

  @ParameterizedTest
  @CsvSource({"127.0.0.1:1,true", "[::1]:1,true", "0.0.0.0:1,false", "10.0.0.7:1,false"})
  void addressOffTheLoopbackNeedsTls(String address, boolean allowed) {
    SettingsDocument settings =
        SettingsDocument.parse("test.toml", "[listen]\naddress = '%s'\n".formatted(address));
    TlsContexts contexts = TlsContexts.read(settings);
    contexts.checkListenAddress(
        settings, "listen.address", settings.requiredAddress("listen.address"));
    if (allowed) {
      settings.finish();
    } else {
      assertThrows(SettingsException.class, settings::finish);
    }
  }
}
