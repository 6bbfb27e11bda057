package org.shallothold.experiment.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Hands out free TCP ports on loopback, none of them twice in one process. Thread-safe. */
final class Ports {

  // Below the range from which the kernel takes the local ports of outgoing connections, so that a
  // process can be restarted on its port.
  private static final int FIRST = 12_000;
  private static final int END = 32_000;

  private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

  private Ports() {}

  /** Returns a port that was free when this was called. */
  static int free() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, END);
      if (TAKEN.add(port) && canListen(port)) {
        return port;
      }
    }
  }

  private static boolean canListen(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
