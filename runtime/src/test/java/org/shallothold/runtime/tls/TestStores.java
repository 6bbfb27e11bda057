package org.shallothold.runtime.tls;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.shallothold.runtime.settings.SettingsDocument;

/** Makes key stores with the JDK's keytool, as an operator would. */
final class TestStores {

  private static final String PASSWORD = "only-for-tests";

  private final Path directory;

  private TestStores(Path directory) {
    this.directory = directory;
  }

  static TestStores in(Path directory) throws IOException {
    Files.writeString(directory.resolve("password"), PASSWORD + "\n");
    return new TestStores(directory);
  }

  /** Makes an authority of the given name, and a store that trusts only it. */
  void authority(String name) throws Exception {
    generate(name, "-ext", "bc:c");
    keytool("-exportcert", "-rfc", "-alias", name, "-keystore", store(name), "-file", cert(name));
    keytool(
        "-importcert", "-noprompt", "-alias", name, "-file", cert(name), "-keystore", trust(name));
  }

  /** Makes a key whose certificate an authority signed. */
  void signed(String name, String authority) throws Exception {
    generate(name);
    String request = path(name + ".csr");
    keytool("-certreq", "-alias", name, "-keystore", store(name), "-file", request);
    keytool(
        "-gencert",
        "-rfc",
        "-alias",
        authority,
        "-keystore",
        store(authority),
        "-infile",
        request,
        "-outfile",
        cert(name));
    keytool(
        "-importcert",
        "-noprompt",
        "-alias",
        authority,
        "-file",
        cert(authority),
        "-keystore",
        store(name));
    keytool("-importcert", "-alias", name, "-file", cert(name), "-keystore", store(name));
  }

  /** Returns settings with a key and the authority to trust. */
  SettingsDocument settings(String key, String authority) {
    return SettingsDocument.parse(
        "test.toml",
        "[tls]\nkey_store_file = '%s'\ntrust_store_file = '%s'\npassword_file = '%s'\n"
            .formatted(store(key), trust(authority), path("password")));
  }

  String store(String name) {
    return path(name + ".p12");
  }

  String trust(String name) {
    return path(name + "-trust.p12");
  }

  String path(String file) {
    return directory.resolve(file).toString();
  }

  private String cert(String name) {
    return path(name + ".pem");
  }

  private void generate(String name, String... more) throws Exception {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "-genkeypair",
                "-alias",
                name,
                "-keyalg",
                "EC",
                "-groupname",
                "secp256r1",
                "-validity",
                "2",
                "-dname",
                "CN=" + name,
                "-keystore",
                store(name)));
    arguments.addAll(List.of(more));
    keytool(arguments.toArray(String[]::new));
  }

  private static void keytool(String... arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of(arguments));
    // Starts in half the time.
    command.addAll(List.of("-J-XX:TieredStopAtLevel=1", "-J-XX:+UseSerialGC"));
    command.addAll(List.of("-storetype", "PKCS12", "-storepass", PASSWORD));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), UTF_8);
    if (process.waitFor() != 0) {
      throw new IllegalStateException(output);
    }
  }
}
