package org.shallothold.experiment.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.JsonHttp;

/**
 * A caller of gateways. Each request runs on a virtual thread of its own. Thread-safe; {@link
 * #close} gives up the requests that still run.
 */
public final class Caller implements AutoCloseable {

  private static final String VERDICT_HEADER = "Shallothold-Verdict";
  private static final String REQUEST_ID_HEADER = "Shallothold-Request-Id";
  private static final String EVENT_PREFIX = "data:";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(40);

  private final String customer;
  private final HttpClient client;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "caller-timer");
            thread.setDaemon(true);
            return thread;
          });

  private Caller(String customer) {
    this.customer = customer;
    client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
  }

  /** Returns a caller with connections of its own; its orders are those of {@code miller}. */
  public static Caller create() {
    return new Caller("miller");
  }

  /** Returns a caller with connections of its own, and the customer of its orders. */
  public static Caller create(String customer) {
    return new Caller(customer);
  }

  /** Sends a request for a completion through a gateway. */
  public CompletableFuture<CompletionResult> send(URI gateway, CompletionRequest request) {
    return send(gateway, request, count -> {});
  }

  /**
   * Sends a request for a completion through a gateway.
   *
   * @param progress told the number of tokens so far with each token of a streamed answer
   */
  public CompletableFuture<CompletionResult> send(
      URI gateway, CompletionRequest request, IntConsumer progress) {
    return CompletableFuture.supplyAsync(
        () -> new Exchange(gateway, request, progress).run(), threads);
  }

  /** Asks a gateway for an order ticket; empty if it gives none. */
  public String ticket(URI gateway, String service) {
    HttpRequest request =
        authorized(gateway.resolve("v1/order-tickets"), FleetPlan.key(customer))
            .timeout(ORDER_TIMEOUT)
            .POST(BodyPublishers.ofString("{\"service\": \"" + service + "\"}"))
            .build();
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      return json(response.body()).path("ticket").asText();
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      throw interrupted(e);
    }
  }

  /**
   * Sends an order.
   *
   * @param ticket sent as {@code Idempotency-Key}, unless it is empty
   */
  public CompletableFuture<OrderResult> order(
      URI gateway, String service, String body, String ticket) {
    return call(gateway, service, "POST", "orders", body, ticket);
  }

  /** Sends a call of a plain service. */
  public CompletableFuture<OrderResult> call(
      URI gateway, String service, String method, String path, String body, String ticket) {
    HttpRequest.Builder request =
        authorized(gateway.resolve("services/" + service + "/" + path), FleetPlan.key(customer))
            .timeout(ORDER_TIMEOUT)
            .method(method, BodyPublishers.ofString(body));
    if (!ticket.isEmpty()) {
      request.header("Idempotency-Key", ticket);
    }
    return CompletableFuture.supplyAsync(() -> sendOrder(request.build()), threads);
  }

  /** Asks for a ticket's state or seals it; returns the gateway's answer. */
  public JsonNode ticketCall(URI gateway, String method, String ticket) {
    HttpRequest request =
        authorized(gateway.resolve("v1/order-tickets/" + ticket), FleetPlan.key(customer))
            .timeout(ORDER_TIMEOUT)
            .method(method, BodyPublishers.noBody())
            .build();
    try {
      return json(client.send(request, BodyHandlers.ofString()).body());
    } catch (IOException e) {
      return JsonHttp.MAPPER.missingNode();
    } catch (InterruptedException e) {
      throw interrupted(e);
    }
  }

  /** Closes the connections of requests that still run. */
  @Override
  public void close() {
    client.shutdownNow();
    threads.shutdownNow();
    timer.shutdownNow();
  }

  private OrderResult sendOrder(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      JsonNode error = json(response.body()).path("error");
      boolean refused =
          error.has("verdict")
              || response
                  .headers()
                  .firstValue(VERDICT_HEADER)
                  .filter(verdict -> !verdict.equals("completed"))
                  .isPresent();
      return new OrderResult(
          refused
              ? refusal(response.headers().firstValue(VERDICT_HEADER).orElse(""), error)
              : response.statusCode() < 300 ? Outcome.COMPLETE : Outcome.NO_VERDICT,
          response.statusCode(),
          error.path("code").asText(),
          response.body(),
          response.headers().firstValue("Order-Ticket").orElse(""));
    } catch (IOException e) {
      return new OrderResult(Outcome.BROKEN, 0, "", String.valueOf(e.getMessage()), "");
    } catch (InterruptedException e) {
      throw interrupted(e);
    }
  }

  private static Outcome refusal(String header, JsonNode error) {
    String verdict = error.path("verdict").asText(header);
    if (!header.isEmpty() && !verdict.equals(header)) {
      return Outcome.NO_VERDICT;
    }
    return switch (verdict) {
      case "not_run" -> Outcome.NOT_RUN;
      case "may_have_run" -> Outcome.MAY_HAVE_RUN;
      default -> Outcome.NO_VERDICT;
    };
  }

  private static HttpRequest.Builder authorized(URI address, String key) {
    return HttpRequest.newBuilder(address)
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json");
  }

  private static JsonNode json(String text) {
    try {
      return JsonHttp.MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return JsonHttp.MAPPER.missingNode();
    }
  }

  private static IllegalStateException interrupted(InterruptedException cause) {
    Thread.currentThread().interrupt();
    return new IllegalStateException("interrupted during a call", cause);
  }

  /** One request and what was received so far; used by one thread. */
  private final class Exchange {

    private final URI gateway;
    private final CompletionRequest request;
    private final IntConsumer progress;
    private final long startNanos = System.nanoTime();

    private final StringBuilder text = new StringBuilder();
    private final List<Long> tokenNanos = new ArrayList<>();
    private String requestId = "";
    private String code = "";
    private long retryAfterSeconds = -1;
    private int status;
    private boolean finished;
    private boolean endMark;
    private volatile boolean givenUp;

    Exchange(URI gateway, CompletionRequest request, IntConsumer progress) {
      this.gateway = gateway;
      this.request = request;
      this.progress = progress;
    }

    CompletionResult run() {
      Outcome outcome;
      try {
        outcome = exchange();
      } catch (IOException e) {
        outcome = givenUp ? Outcome.GIVEN_UP : Outcome.BROKEN;
      } catch (InterruptedException e) {
        outcome = Outcome.GIVEN_UP;
      }
      return new CompletionResult(
          request,
          outcome,
          status,
          code,
          requestId,
          text.toString(),
          retryAfterSeconds,
          tokenNanos,
          System.nanoTime() - startNanos);
    }

    private Outcome exchange() throws IOException, InterruptedException {
      HttpRequest.Builder builder =
          authorized(gateway.resolve("v1/chat/completions"), FleetPlan.key(request.customer()))
              .POST(BodyPublishers.ofByteArray(request.body()));
      if (!request.serviceClass().isEmpty()) {
        builder.header("Shallothold-Class", request.serviceClass());
      }
      CompletableFuture<HttpResponse<InputStream>> sent =
          client.sendAsync(builder.build(), BodyHandlers.ofInputStream());
      Thread own = Thread.currentThread();
      ScheduledFuture<?> timeout =
          timer.schedule(
              () -> {
                givenUp = true;
                sent.cancel(true);
                own.interrupt();
              },
              request.timeout().toMillis(),
              TimeUnit.MILLISECONDS);
      try {
        HttpResponse<InputStream> response = sent.get();
        status = response.statusCode();
        requestId = response.headers().firstValue(REQUEST_ID_HEADER).orElse("");
        retryAfterSeconds = response.headers().firstValueAsLong("Retry-After").orElse(-1);
        try (InputStream body = response.body()) {
          return status == 200 ? readAnswer(body) : readRefusal(response, body);
        }
      } catch (java.util.concurrent.ExecutionException
          | java.util.concurrent.CancellationException e) {
        throw new IOException(e);
      } finally {
        timeout.cancel(false);
      }
    }

    private Outcome readAnswer(InputStream body) throws IOException {
      if (!request.stream()) {
        JsonNode choice =
            json(new String(body.readAllBytes(), StandardCharsets.UTF_8)).path("choices").path(0);
        text.append(choice.path("message").path("content").asText());
        return request.expectedText().contentEquals(text) ? Outcome.COMPLETE : Outcome.WRONG;
      }
      JsonNode error = JsonHttp.MAPPER.missingNode();
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith(EVENT_PREFIX)) {
          JsonNode event = readEvent(line.substring(EVENT_PREFIX.length()).strip());
          error = event.has("error") ? event.path("error") : error;
        }
      }
      String expected = request.expectedText();
      if (!expected.startsWith(text.toString())) {
        return Outcome.WRONG;
      }
      if (!error.isMissingNode()) {
        code = error.path("code").asText();
        return refusal("", error);
      }
      if (!finished || !endMark) {
        return Outcome.BROKEN;
      }
      return expected.contentEquals(text) ? Outcome.COMPLETE : Outcome.WRONG;
    }

    private JsonNode readEvent(String data) {
      if (data.equals("[DONE]")) {
        endMark = true;
        return JsonHttp.MAPPER.missingNode();
      }
      JsonNode event = json(data);
      JsonNode choice = event.path("choices").path(0);
      String token = choice.path("delta").path("content").asText();
      if (!token.isEmpty()) {
        // One event may hold several tokens; each but the first of the answer starts with a space.
        long tokens = token.chars().filter(character -> character == ' ').count();
        tokens += text.isEmpty() ? 1 : 0;
        long now = System.nanoTime() - startNanos;
        for (long number = 0; number < tokens; number++) {
          tokenNanos.add(now);
        }
        text.append(token);
        progress.accept(tokenNanos.size());
      }
      finished |= choice.path("finish_reason").isTextual();
      return event;
    }

    private Outcome readRefusal(HttpResponse<InputStream> response, InputStream body)
        throws IOException {
      JsonNode error = json(new String(body.readAllBytes(), StandardCharsets.UTF_8)).path("error");
      code = error.path("code").asText();
      return refusal(response.headers().firstValue(VERDICT_HEADER).orElse(""), error);
    }
  }
}
