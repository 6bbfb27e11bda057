package org.shallothold.sidecar.backend;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.System.Logger;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;
import org.shallothold.runtime.http.SingleUseHttpClient;

/** Reads the engine's own load report. May be shared between threads; doesn't block. */
public final class EngineLoadReader {

  private static final Logger LOGGER = System.getLogger(EngineLoadReader.class.getName());
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
  private static final int UNKNOWN = -1;

  private final URI url;
  private final SingleUseHttpClient client;
  private final IntConsumer onLoad;
  private final Runnable onReturn;
  private final AtomicBoolean reading = new AtomicBoolean();
  private final AtomicBoolean reachable = new AtomicBoolean(true);

  private EngineLoadReader(
      URI url, SingleUseHttpClient client, IntConsumer onLoad, Runnable onReturn) {
    this.url = url;
    this.client = client;
    this.onLoad = onLoad;
    this.onReturn = onReturn;
  }

  /**
   * Returns a reader.
   *
   * @param onLoad gets the number of running requests, or -1 if it can't be read
   * @param onReturn called when the engine can be read again after it could not
   */
  public static EngineLoadReader of(
      URI base, SingleUseHttpClient client, IntConsumer onLoad, Runnable onReturn) {
    return new EngineLoadReader(base.resolve("load"), client, onLoad, onReturn);
  }

  /** Reads once, unless the last read has not ended. */
  public void read() {
    if (!reading.compareAndSet(false, true)) {
      return;
    }
    HttpRequest request = HttpRequest.newBuilder(url).timeout(ANSWER_TIMEOUT).build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .whenComplete(
            (response, error) -> {
              int running = error == null ? running(response) : UNKNOWN;
              report(running != UNKNOWN);
              reading.set(false);
              onLoad.accept(running);
            });
  }

  private void report(boolean nowReachable) {
    if (reachable.getAndSet(nowReachable) != nowReachable) {
      LOGGER.log(
          Logger.Level.WARNING,
          nowReachable ? "the engine can be read again" : "the engine can't be read");
      if (nowReachable) {
        onReturn.run();
      }
    }
  }

  private static int running(HttpResponse<byte[]> response) {
    try {
      return response.statusCode() == 200
          ? MAPPER.readTree(response.body()).path("running").asInt(UNKNOWN)
          : UNKNOWN;
    } catch (IOException e) {
      return UNKNOWN;
    }
  }
}
