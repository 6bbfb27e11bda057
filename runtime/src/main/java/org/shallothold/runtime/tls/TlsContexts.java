package org.shallothold.runtime.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Arrays;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.TrustManagerFactory;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.settings.SettingsDocument;

/**
 * The contexts for mutual TLS 1.3 between processes, made once at start from the section {@code
 * [tls]} of the settings. Immutable and free to share between threads.
 */
public final class TlsContexts {

  private static final String KEY_STORE = "tls.key_store_file";
  private static final String TRUST_STORE = "tls.trust_store_file";
  private static final String PASSWORD = "tls.password_file";
  private static final String PROTOCOL = "TLSv1.3";

  private final boolean configured;
  private final @Nullable SslContext server;
  private final @Nullable SslContext client;

  private TlsContexts(
      boolean configured, @Nullable SslContext server, @Nullable SslContext client) {
    this.configured = configured;
    this.server = server;
    this.client = client;
  }

  /**
   * Returns the contexts that the settings describe, without contexts if there is no section {@code
   * [tls]}. A file that can't be used is noted as a problem of the settings; nothing is thrown.
   */
  public static TlsContexts read(SettingsDocument settings) {
    String keyStoreFile = settings.optionalText(KEY_STORE);
    String trustStoreFile = settings.optionalText(TRUST_STORE);
    String passwordFile = settings.optionalText(PASSWORD);
    if (!settings.hasSection("tls")) {
      return new TlsContexts(false, null, null);
    }
    if (keyStoreFile == null || trustStoreFile == null || passwordFile == null) {
      missing(settings, KEY_STORE, keyStoreFile);
      missing(settings, TRUST_STORE, trustStoreFile);
      missing(settings, PASSWORD, passwordFile);
      return new TlsContexts(true, null, null);
    }
    char[] password = readPassword(settings, passwordFile);
    if (password.length == 0) {
      return new TlsContexts(true, null, null);
    }
    try {
      return build(settings, keyStoreFile, trustStoreFile, password);
    } finally {
      Arrays.fill(password, '\0');
    }
  }

  /** Returns the context of the accepting side, or null for plain TCP. */
  public @Nullable SslContext server() {
    return server;
  }

  /** Returns the context of the connecting side, or null for plain TCP. */
  public @Nullable SslContext client() {
    return client;
  }

  /**
   * Notes a problem if an address is off the loopback while there is no section {@code [tls]}.
   *
   * @param key key that the address was read from
   * @param address the address, or null if it could not be read, which is a problem already
   */
  public void checkListenAddress(
      SettingsDocument settings, String key, @Nullable InetSocketAddress address) {
    if (!configured && address != null && !address.getAddress().isLoopbackAddress()) {
      settings.clash(
          key,
          address.getAddress().getHostAddress() + " without a section [tls]",
          "a loopback address, or mutual TLS set up in [tls]");
    }
  }

  private static void missing(SettingsDocument settings, String key, @Nullable String value) {
    if (value == null && !settings.has(key)) {
      settings.clash(
          key, "nothing", "a file; [tls] needs key_store_file, trust_store_file and password_file");
    }
  }

  private static char[] readPassword(SettingsDocument settings, String file) {
    try {
      char[] password = Files.readString(Path.of(file)).strip().toCharArray();
      if (password.length == 0) {
        settings.clash(PASSWORD, "an empty file", "a file with the password of both stores");
      }
      return password;
    } catch (IOException | RuntimeException e) {
      settings.clash(PASSWORD, "'" + file + "', which can't be read", "a readable text file");
      return new char[0];
    }
  }

  private static TlsContexts build(
      SettingsDocument settings, String keyStoreFile, String trustStoreFile, char[] password) {
    KeyStore keys = load(settings, KEY_STORE, keyStoreFile, password);
    KeyStore authorities = load(settings, TRUST_STORE, trustStoreFile, password);
    if (keys == null || authorities == null) {
      return new TlsContexts(true, null, null);
    }
    try {
      KeyManagerFactory keyManagers =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keyManagers.init(keys, password);
      TrustManagerFactory trustManagers =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trustManagers.init(authorities);
      return new TlsContexts(
          true,
          SslContextBuilder.forServer(keyManagers)
              .trustManager(trustManagers)
              .clientAuth(ClientAuth.REQUIRE)
              .sslProvider(SslProvider.JDK)
              .protocols(PROTOCOL)
              .build(),
          SslContextBuilder.forClient()
              .keyManager(keyManagers)
              .trustManager(trustManagers)
              // Peers are addressed by number and their VMs are replaced at any time, so a
              // certificate names no address: every holder of one of the authority is a peer.
              .endpointIdentificationAlgorithm(null)
              .sslProvider(SslProvider.JDK)
              .protocols(PROTOCOL)
              .build());
    } catch (GeneralSecurityException | IOException e) {
      settings.clash(KEY_STORE, "an unusable key (" + e.getMessage() + ")", "a key for TLS 1.3");
      return new TlsContexts(true, null, null);
    }
  }

  private static @Nullable KeyStore load(
      SettingsDocument settings, String key, String file, char[] password) {
    try (InputStream input = Files.newInputStream(Path.of(file))) {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(input, password);
      boolean wantsKey = key.equals(KEY_STORE);
      for (String alias : java.util.Collections.list(store.aliases())) {
        if (wantsKey ? store.isKeyEntry(alias) : store.isCertificateEntry(alias)) {
          return store;
        }
      }
      settings.clash(
          key,
          "'" + file + "', which holds no " + (wantsKey ? "private key" : "trusted certificate"),
          "a PKCS12 file");
    } catch (IOException | GeneralSecurityException | RuntimeException e) {
      settings.clash(key, "'" + file + "', which can't be read with the password", "a PKCS12 file");
    }
    return null;
  }
}
