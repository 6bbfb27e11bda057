package org.shallothold.sidecar.backend;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.shallothold.runtime.http.SingleUseHttpClient;

/** Makes the HTTP clients of the process, all with the same rules. */
public final class HttpClients {

  static {
    // The client repeats some requests by itself after a failure, such as a GET on a connection
    // that the server has closed; an order must not be repeated. The property is read once per JVM.
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
  }

  private HttpClients() {}

  private static HttpClient create(long connectTimeoutMillis, Executor executor) {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(connectTimeoutMillis))
        .followRedirects(HttpClient.Redirect.NEVER)
        .executor(executor)
        .build();
  }

  /**
   * Returns a client for the backend server and the platform, whose responses name no request.
   *
   * @param executor runs what the client does; its tasks don't block
   */
  public static SingleUseHttpClient createSingleUse(long connectTimeoutMillis, Executor executor) {
    return SingleUseHttpClient.of(() -> create(connectTimeoutMillis, executor));
  }
}
