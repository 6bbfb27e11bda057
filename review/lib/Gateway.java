import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A gateway of the project, started as a process with the command of the deploy file. */
final class Gateway {

  final String name;
  final String host;
  final int frontPort;
  final int readyPort;
  final int controlPort;
  private final Path settings;
  private final Path log;
  private final Path root;
  private Process process;

  Gateway(Path root, Path work, String name, String host) throws IOException {
    this.root = root;
    this.name = name;
    this.host = host;
    this.frontPort = freePort(host);
    this.readyPort = freePort(host);
    this.controlPort = freePort(host);
    this.settings = work.resolve(name + ".conf");
    this.log = work.resolve(name + ".log");
  }

  private static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  String control() {
    return host + ":" + controlPort;
  }

  void start(String storeAddress, List<String> seeds) throws IOException {
    Files.writeString(
        settings,
        """
        NodeName=%s
        Role=gateway
        MachineClass=frontend
        Serves=frontend,control_plane
        Ip=%s
        Zone=zone-a
        Region=region-a
        Zones.zone-a=region-a
        Listen.Front=%s:%d
        Listen.Ready=%s:%d
        Listen.Control=%s:%d
        Seeds=%s
        Bootstrap=true
        CountsAsLoss=false
        Limits.CpuShare=0.57
        Limits.Cores=1
        Limits.MemoryMb=430
        Limits.FileDescriptors=4100
        Limits.LinkMbps=1000.0
        Limits.DiskMb=0
        Discovery=platform
        Entry=virtual_ip
        HeartbeatMs=1200
        Bounds.ContactMs=3000
        Bounds.DrainMs=2000
        Bounds.GraceS=8
        Bounds.LossSlackMs=200
        Bounds.ConfigApplyMs=2000
        Bounds.OuterBoundMs=5000
        Bounds.RetryBudgetRatio=0.2
        Bounds.BudgetWindowS=10
        Bounds.RetryBudgetSlack=56
        Platform.Address=%s
        Platform.form=read
        """
            .formatted(
                name,
                host,
                host,
                frontPort,
                host,
                readyPort,
                host,
                controlPort,
                String.join(",", seeds),
                storeAddress));
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        break;
      }
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("SHALLOTHOLD_BOOT", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  /** Waits until the gateway answers its readiness check with 200. */
  void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return;
      }
      if (!process.isAlive()) {
        throw new IOException(name + " ended with " + process.exitValue() + "; see " + log);
      }
      Thread.sleep(50);
    }
    throw new IOException(name + " was not ready in time; see " + log);
  }

  boolean isReady() {
    try (Socket socket = new Socket(host, readyPort)) {
      socket.setSoTimeout(1_000);
      Http.write(
          socket,
          "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
          new byte[0]);
      Http.Message answer = Http.readResponse(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor();
    }
  }
}
