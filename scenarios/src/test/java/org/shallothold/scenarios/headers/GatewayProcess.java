package org.shallothold.scenarios.headers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A gateway as a process of its own, with a small heap, that ends when it is out of memory. */
final class GatewayProcess implements AutoCloseable {

  private static final long BYTES_PER_KILOBYTE = 1_024;
  private static final int OUTPUT_TAIL_LINES = 12;

  private final Process process;
  private final Path output;
  private final int callerPort;
  private long mostDescriptors;

  private GatewayProcess(Process process, Path output, int callerPort) {
    this.process = process;
    this.output = output;
    this.callerPort = callerPort;
  }

  /**
   * Starts the main class of a module that was built before.
   *
   * @param options options of the JVM
   * @param environment added to that of this process
   */
  static GatewayProcess start(
      String module,
      String mainClass,
      List<String> options,
      List<String> arguments,
      Map<String, String> environment,
      Path folder,
      int callerPort)
      throws IOException {
    Path target = Path.of("..", module, "target").toAbsolutePath().normalize();
    Path jar = target.resolve("shallothold-" + module + "-0.1.0-SNAPSHOT.jar");
    assertTrue(Files.isRegularFile(jar), () -> "not built: " + jar);
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.add("--enable-native-access=ALL-UNNAMED");
    command.add("--sun-misc-unsafe-memory-access=allow");
    command.addAll(List.of("-cp", jar + ":" + target.resolve("lib") + "/*", mainClass));
    command.addAll(arguments);
    Path output = folder.resolve("gateway.out");
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
    builder.environment().putAll(environment);
    return new GatewayProcess(builder.start(), output, callerPort);
  }

  /** Returns the port for callers. */
  int callerPort() {
    return callerPort;
  }

  /** Fails if the process has ended. */
  void assertAlive() {
    assertTrue(process.isAlive(), () -> "exit code " + process.exitValue() + "\n" + tail());
  }

  /** Counts the open descriptors. */
  void sampleDescriptors() {
    try (Stream<Path> open = Files.list(proc("fd"))) {
      mostDescriptors = Math.max(mostDescriptors, open.count());
    } catch (IOException | UncheckedIOException e) {
      // The process has ended.
    }
  }

  /** Fails if the process has ended or used more memory or descriptors than the bounds. */
  void assertWithin(long residentMegabytes, long descriptors) throws IOException {
    long peakMegabytes = peakResidentBytes() >> 20;
    assertAlive();
    System.out.println(
        "gateway process: " + peakMegabytes + " MB, " + mostDescriptors + " descriptors");
    assertTrue(
        peakMegabytes <= residentMegabytes,
        () -> "used " + peakMegabytes + " of " + residentMegabytes + " MB");
    assertTrue(
        mostDescriptors <= descriptors,
        () -> "had " + mostDescriptors + " of " + descriptors + " descriptors open");
  }

  /** Fails if an ordinary request is not answered with the status 200. */
  void assertAnswers(String request) throws IOException {
    String answer = Crowd.ask(callerPort, request);
    assertEquals("HTTP/1.1 200 OK", answer.lines().findFirst().orElse(""), answer);
  }

  private long peakResidentBytes() throws IOException {
    if (!process.isAlive()) {
      return 0;
    }
    try (Stream<String> lines = Files.lines(proc("status"))) {
      return lines
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KILOBYTE)
          .findFirst()
          .orElseGet(this::ending);
    }
  }

  /** Waits for the end of a process that has given its memory back already. */
  private long ending() {
    Process unused = process.onExit().join();
    return 0;
  }

  private Path proc(String name) {
    return Path.of("/proc", Long.toString(process.pid()), name);
  }

  private String tail() {
    try {
      List<String> lines = Files.readAllLines(output);
      return String.join(
          "\n", lines.subList(Math.max(0, lines.size() - OUTPUT_TAIL_LINES), lines.size()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a port that no process listens on. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() {
    Process unused = process.destroyForcibly().onExit().join();
  }
}
