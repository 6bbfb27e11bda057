package org.shallothold.sidecar.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.http.SingleUseHttpClient;

/**
 * Tells the engine which models to load, with the sidecar's fencing number. Has its own thread,
 * since a command may take as long as a load. Made once per process.
 */
public final class EngineCommander implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final long RETRY_MILLIS = 500;
  private static final int CONFLICT = 409;
  // An engine that names an old number again and again must not hold the thread.
  private static final int MAX_RAISES = 3;

  private final URI base;
  private final SingleUseHttpClient client;
  private final FencingNumber number;
  private final LongConsumer onFenced;
  private final BlockingQueue<Wanted> wanted = new LinkedBlockingQueue<>();
  private final Thread thread;

  /**
   * Models that the engine should have.
   *
   * @param afresh whether the engine may have lost those that it had
   */
  private record Wanted(List<String> models, boolean afresh) {}

  private EngineCommander(
      URI base, SingleUseHttpClient client, FencingNumber number, LongConsumer onFenced) {
    this.base = base;
    this.client = client;
    this.number = number;
    this.onFenced = onFenced;
    this.thread = new Thread(this::run, "engine-commands");
    this.thread.setDaemon(true);
  }

  /**
   * Starts the thread.
   *
   * @param startMillis start of this process in milliseconds since the epoch
   * @param onFenced called at most once, with the higher number, after which no command is sent
   */
  public static EngineCommander start(
      URI base, SingleUseHttpClient client, long startMillis, LongConsumer onFenced) {
    EngineCommander commander =
        new EngineCommander(base, client, FencingNumber.startedAt(startMillis), onFenced);
    commander.thread.start();
    return commander;
  }

  /** Sets the models that the engine should have; doesn't block. */
  public void load(List<String> models) {
    wanted.add(new Wanted(models, false));
  }

  /** Loads all models again into an engine that may have been restarted; doesn't block. */
  public void reload(List<String> models) {
    wanted.add(new Wanted(models, true));
  }

  @Override
  public void close() {
    thread.interrupt();
  }

  private void run() {
    Set<String> loaded = new LinkedHashSet<>();
    try {
      List<String> models = wanted.take().models();
      readHighestNumber();
      while (!Thread.currentThread().isInterrupted()) {
        if (!loadAll(models, loaded)) {
          return;
        }
        // A command that failed is sent again after a pause, unless the models change before.
        Wanted newer =
            loaded.containsAll(models)
                ? wanted.take()
                : wanted.poll(RETRY_MILLIS, TimeUnit.MILLISECONDS);
        if (newer != null) {
          models = newer.models();
          loaded.retainAll(newer.afresh() ? List.of() : models);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns false once fenced. */
  private boolean loadAll(List<String> models, Set<String> loaded) throws InterruptedException {
    for (String model : models) {
      if (loaded.contains(model)) {
        continue;
      }
      switch (load(model)) {
        case DONE -> loaded.add(model);
        case FAILED -> {}
        case FENCED -> {
          return false;
        }
      }
    }
    return true;
  }

  private enum Result {
    DONE,
    FAILED,
    FENCED
  }

  private Result load(String model) throws InterruptedException {
    for (int tries = 0; tries <= MAX_RAISES; tries++) {
      HttpResponse<byte[]> response = command(model);
      if (response == null) {
        return Result.FAILED;
      }
      if (response.statusCode() != CONFLICT) {
        return response.statusCode() / 100 == 2 ? Result.DONE : Result.FAILED;
      }
      long highest = highestNumber(response);
      if (!number.raiseAbove(highest)) {
        onFenced.accept(highest);
        return Result.FENCED;
      }
    }
    return Result.FAILED;
  }

  private @Nullable HttpResponse<byte[]> command(String model) throws InterruptedException {
    byte[] body =
        MAPPER
            .createObjectNode()
            .put("command", "load_model")
            .put("model", model)
            .put("fencing_number", number.value())
            .toString()
            .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    return send(
        HttpRequest.newBuilder(base.resolve("commands"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofByteArray(body)));
  }

  /** Reads the engine's highest number; an engine that reports none answers with an error. */
  private void readHighestNumber() throws InterruptedException {
    HttpResponse<byte[]> response = null;
    while (response == null) {
      response = send(HttpRequest.newBuilder(base.resolve("commands")).GET());
      if (response == null) {
        Thread.sleep(RETRY_MILLIS);
      }
    }
    if (response.statusCode() == 200) {
      number.reportedAtStart(highestNumber(response));
    }
  }

  private @Nullable HttpResponse<byte[]> send(HttpRequest.Builder request)
      throws InterruptedException {
    try {
      return client.send(
          request.timeout(ANSWER_TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      return null;
    }
  }

  private static long highestNumber(HttpResponse<byte[]> response) {
    try {
      JsonNode node = MAPPER.readTree(response.body());
      return node.path("highest_fencing_number").asLong();
    } catch (IOException e) {
      return 0;
    }
  }
}
