package org.shallothold.runtime.http;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Sends each request on a connection of its own. A server may respond to a request twice, the
 * second time late, and where responses name no request, nothing tells a late one on a kept
 * connection from the response to the next request. Created per process; may be shared between
 * threads.
 */
public final class SingleUseHttpClient {

  private final Supplier<HttpClient> clients;

  private SingleUseHttpClient(Supplier<HttpClient> clients) {
    this.clients = clients;
  }

  /**
   * Returns a client.
   *
   * @param clients creates the library's client for a request, which is shut down afterwards. The
   *     library has no setting that keeps connections from being used again, except for the
   *     server's own {@code Connection: close}.
   */
  public static SingleUseHttpClient of(Supplier<HttpClient> clients) {
    return new SingleUseHttpClient(clients);
  }

  /** Sends a request without blocking. Cancelling the future closes the connection. */
  public <T> CompletableFuture<HttpResponse<T>> sendAsync(
      HttpRequest request, HttpResponse.BodyHandler<T> handler) {
    HttpClient client = clients.get();
    try {
      return client.sendAsync(request, handler);
    } finally {
      // Takes effect when the exchange has ended.
      client.shutdown();
    }
  }

  /**
   * Sends a request and waits for its response.
   *
   * @throws IOException if the exchange fails
   * @throws InterruptedException if the thread is interrupted; the connection is closed then
   */
  public <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> handler)
      throws IOException, InterruptedException {
    HttpClient client = clients.get();
    try {
      return client.send(request, handler);
    } finally {
      client.shutdownNow();
    }
  }
}
