package org.shallothold.experiment.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * A process that a fleet started, and its signals. Created by {@link Fleet}; used by one thread at
 * a time. Whatever still runs when this JVM ends is killed by its handle.
 */
public final class ManagedProcess {

  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();
  private static final Duration KILL_BOUND = Duration.ofSeconds(10);
  private static final int LOG_TAIL_BYTES = 3_000;

  static {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> RUNNING.forEach(Process::destroyForcibly), "process-clean-up"));
  }

  private final String name;
  private final List<String> command;
  private final Path folder;
  private final BooleanSupplier ready;

  private @Nullable Process process;
  private int starts;

  ManagedProcess(String name, List<String> command, Path folder, BooleanSupplier ready) {
    this.name = name;
    this.command = List.copyOf(command);
    this.folder = folder;
    this.ready = ready;
  }

  /** Returns the process's name in the fleet. */
  public String name() {
    return name;
  }

  /** Returns the id that the operating system gave the running process. */
  public long pid() {
    return running().pid();
  }

  /** Returns whether the process runs, frozen or not. */
  public boolean alive() {
    return process != null && process.isAlive();
  }

  /** Starts the process; on the same addresses if it ran before. Doesn't wait. */
  public void start() {
    if (alive()) {
      throw new IllegalStateException(name + " is running");
    }
    starts++;
    try {
      Process started =
          new ProcessBuilder(command)
              .redirectOutput(folder.resolve(name + "." + starts + ".out").toFile())
              .redirectError(folder.resolve(name + "." + starts + ".err").toFile())
              .start();
      RUNNING.add(started);
      var unused = started.onExit().thenAccept(RUNNING::remove);
      process = started;
    } catch (IOException e) {
      throw new UncheckedIOException("can't start " + name, e);
    }
  }

  /** Waits until the process serves. */
  public void awaitReady(Duration bound) {
    Await.until(
        name + " is ready",
        bound,
        () -> {
          if (!alive()) {
            throw new AssertionError(
                name + " ended with code " + running().exitValue() + ": " + logTail());
          }
          return ready.getAsBoolean();
        },
        this::logTail);
  }

  /** Ends the process with SIGKILL and waits until it has ended. */
  public void kill() {
    Process target = running();
    target.destroyForcibly();
    awaitExit(KILL_BOUND);
  }

  /** Sends SIGTERM and doesn't wait. */
  public void terminate() {
    signal("TERM");
  }

  /** Stops the process with SIGSTOP: it holds its memory and sockets and does nothing. */
  public void freeze() {
    signal("STOP");
  }

  /** Lets a frozen process go on with SIGCONT. */
  public void thaw() {
    signal("CONT");
  }

  /** Waits until the process has ended and returns its exit code. */
  public int awaitExit(Duration bound) {
    Process target = running();
    try {
      if (!target.waitFor(bound.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new AssertionError(
            "not within %d s: %s has ended. %s".formatted(bound.toSeconds(), name, logTail()));
      }
      return target.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for " + name, e);
    }
  }

  /** Returns the CPU time used by the running process, or empty if the system doesn't tell. */
  public Optional<Duration> cpuTime() {
    return running().info().totalCpuDuration();
  }

  /** Returns the resident memory in bytes, as the kernel counts it for the process. */
  public long residentBytes() {
    try (var lines = Files.lines(Path.of("/proc", Long.toString(pid()), "status"))) {
      return lines
          .filter(line -> line.startsWith("VmRSS:"))
          .map(line -> line.replaceAll("\\D", ""))
          .mapToLong(kilobytes -> Long.parseLong(kilobytes) * 1_024)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      throw new UncheckedIOException("can't read the memory of " + name, e);
    }
  }

  /** Returns all that the process wrote to its standard output since its last start. */
  public String output() {
    return read("out");
  }

  /** Returns the end of what the process logged since its last start. */
  public String logTail() {
    String log = read("err");
    return "Log of %s: %s"
        .formatted(name, log.substring(Math.max(0, log.length() - LOG_TAIL_BYTES)));
  }

  private String read(String stream) {
    try {
      return Files.readString(folder.resolve(name + "." + starts + "." + stream));
    } catch (IOException e) {
      return "";
    }
  }

  private void signal(String signal) {
    try {
      int code = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
      if (code != 0) {
        throw new IllegalStateException("SIG" + signal + " could not be sent to " + name);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while signalling " + name, e);
    }
  }

  private Process running() {
    Process current = process;
    if (current == null) {
      throw new IllegalStateException(name + " was never started");
    }
    return current;
  }
}
