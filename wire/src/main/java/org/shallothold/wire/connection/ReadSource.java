package org.shallothold.wire.connection;

import io.netty.channel.Channel;
import java.util.function.Supplier;

/**
 * A connection that bytes are read from, as logs and metrics name it.
 *
 * @param kind kind of the process at the other end
 * @param name id or address of that process
 * @param request id of the request that the connection carries or carried last; empty if unknown
 */
public record ReadSource(String kind, Supplier<String> name, Supplier<String> request) {

  /** Returns a connection to a backend server. */
  public static ReadSource server(String id, Supplier<String> request) {
    return new ReadSource("server", () -> id, request);
  }

  /** Returns a connection of a caller. */
  public static ReadSource caller(Channel channel) {
    return unnamed("caller", channel);
  }

  private static ReadSource unnamed(String kind, Channel channel) {
    return new ReadSource(kind, () -> String.valueOf(channel.remoteAddress()), () -> "");
  }
}
