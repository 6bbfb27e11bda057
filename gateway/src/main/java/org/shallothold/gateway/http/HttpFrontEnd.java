package org.shallothold.gateway.http;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.gateway.request.RequestMetrics;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.metrics.Metrics;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.server.RatpackServer;

/** The Ratpack server for callers. Made once per gateway; closed after the last request. */
public final class HttpFrontEnd implements AutoCloseable {

  /** Event loops only parse and write; two keep a small VM's cores free for the owner thread. */
  private static final int EVENT_LOOP_THREADS = 2;

  /**
   * The decoder's own bound, above which the connection is closed. It is far above {@link
   * RequestHandler}'s bound, so that a usual mistake does not end the connection.
   */
  private static final int MAX_HEADER_BYTES = 256 * 1024;

  // The rest of the heap holds answers, bodies and the routing state. A connection that is shed by
  // another event loop keeps its memory until its own one closes it.
  private static final long HEAP_PER_REQUEST_BYTE = 8;
  private static final int MAX_INITIAL_LINE_BYTES = 64 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final RatpackServer server;
  private final RequestHandler handler;

  private HttpFrontEnd(RatpackServer server, RequestHandler handler) {
    this.server = server;
    this.handler = handler;
  }

  /**
   * Starts to listen.
   *
   * @param configuration returns the configuration in force
   * @param ready returns whether the load balancer should send requests
   * @throws IllegalStateException if the address can't be bound
   */
  public static HttpFrontEnd start(
      HttpOptions options,
      ProcessIdentity identity,
      Supplier<Configuration> configuration,
      BooleanSupplier ready,
      RequestSink sink,
      RequestMetrics requestMetrics,
      Metrics metrics) {
    RequestMemoryBudget memory =
        RequestMemoryBudget.of(Runtime.getRuntime().maxMemory() / HEAP_PER_REQUEST_BYTE);
    RequestMemoryGauges gauges = RequestMemoryGauges.register(metrics, memory);
    RequestHandler handler =
        new RequestHandler(
            options.maxBodyBytes(),
            identity,
            configuration,
            ready,
            sink,
            requestMetrics,
            () -> {
              gauges.update();
              return metrics.toPrometheusText();
            });
    HeadLimits limits =
        new HeadLimits(options.maxHeaderLines(), memory, new ShortageLog(memory), requestMetrics);
    try {
      return new HttpFrontEnd(
          LimitedRatpackServer.start(
              limits,
              spec ->
                  spec.serverConfig(
                          config ->
                              config
                                  .development(false)
                                  .registerShutdownHook(false)
                                  .address(options.listen().getAddress())
                                  .port(options.listen().getPort())
                                  .threads(EVENT_LOOP_THREADS)
                                  .maxContentLength(options.maxBodyBytes())
                                  .maxHeaderSize(MAX_HEADER_BYTES)
                                  .maxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                                  .idleTimeout(IDLE_TIMEOUT))
                      .registryOf(
                          registry ->
                              registry
                                  .add(ServerErrorHandler.class, handler::error)
                                  .add(ClientErrorHandler.class, handler::clientError))
                      .handlers(chain -> chain.all(handler))),
          handler);
    } catch (Exception e) {
      throw new IllegalStateException("cannot listen on " + options.listen(), e);
    }
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getBindPort();
  }

  /** Refuses requests from here on; those in flight go on. */
  public void refuseNew() {
    handler.refuseNew();
  }

  /** Returns how many requests have not been answered completely. */
  public int openRequests() {
    return handler.openRequests();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP server could not be stopped", e);
    }
  }
}
