package org.shallothold.gateway.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.order.OrderTicket;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.ShallotholdException;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.gateway.request.Call;
import org.shallothold.gateway.request.CallerRequest;
import org.shallothold.gateway.request.Failure;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.gateway.request.RequestMetrics;
import org.shallothold.runtime.ProcessIdentity;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.ConnectionClosedException;
import ratpack.http.RequestBodyTooLargeException;

/**
 * Checks callers' requests and passes them to the thread that owns them. Shared by the event loops.
 */
final class RequestHandler implements Handler {

  private static final Logger LOGGER = System.getLogger(RequestHandler.class.getName());
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int REQUEST_ID_DIGITS = 12;
  private static final Duration IDLE_MARGIN = Duration.ofSeconds(30);
  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final String TICKETS = "/v1/order-tickets";

  private final int maxBodyBytes;
  private final String requestIdPrefix;
  private final Supplier<Configuration> configuration;
  private final BooleanSupplier ready;
  private final RequestSink sink;
  private final RequestMetrics requestMetrics;
  private final Supplier<String> metricsText;
  private final Authenticator authenticator = new Authenticator();
  private final AtomicLong requests = new AtomicLong();
  private final AtomicInteger open = new AtomicInteger();
  private volatile boolean refusing;

  RequestHandler(
      int maxBodyBytes,
      ProcessIdentity identity,
      Supplier<Configuration> configuration,
      BooleanSupplier ready,
      RequestSink sink,
      RequestMetrics requestMetrics,
      Supplier<String> metricsText) {
    this.maxBodyBytes = maxBodyBytes;
    this.requestIdPrefix = identity.incarnationText().substring(0, REQUEST_ID_DIGITS) + "-";
    this.configuration = configuration;
    this.ready = ready;
    this.sink = sink;
    this.requestMetrics = requestMetrics;
    this.metricsText = metricsText;
  }

  @Override
  public void handle(Context context) {
    long number = requests.incrementAndGet();
    open.incrementAndGet();
    context.onClose(outcome -> open.decrementAndGet());
    context.getResponse().getHeaders().set("Shallothold-Request-Id", requestIdPrefix + number);
    String uri = context.getRequest().getRawUri();
    String path = uri.contains("?") ? uri.substring(0, uri.indexOf('?')) : uri;
    String method = context.getRequest().getMethod().getName().toUpperCase(Locale.ROOT);
    switch (method + " " + path) {
      case "GET /health/live" -> ReplyWriter.text(context, 200, "live");
      case "GET /health/ready" -> {
        boolean isReady = ready.getAsBoolean();
        ReplyWriter.text(context, isReady ? 200 : 503, isReady ? "ready" : "not ready");
      }
      case "GET /metrics" -> ReplyWriter.text(context, 200, metricsText.get());
      default -> callerRequest(context, number, method, path, uri);
    }
  }

  void refuseNew() {
    refusing = true;
  }

  int openRequests() {
    return open.get();
  }

  /** Answers a fault of this process. */
  void error(Context context, Throwable error) {
    if (error instanceof ConnectionClosedException) {
      return;
    }
    LOGGER.log(Logger.Level.ERROR, "a request failed inside the gateway", error);
    ReplyWriter.send(
        context,
        HttpErrors.reply(
            Failure.of(
                ReasonCode.INTERNAL, Verdict.mayHaveRun(ReasonCode.INTERNAL), "internal error")));
  }

  /** Answers what Ratpack itself rejects, before a handler saw the request. */
  void clientError(Context context, int status) {
    ReasonCode reason =
        switch (status) {
          case 413 -> ReasonCode.BODY_TOO_LARGE;
          case 431 -> ReasonCode.HEADERS_TOO_LARGE;
          case 404 -> ReasonCode.NOT_FOUND;
          default -> ReasonCode.MALFORMED_REQUEST;
        };
    ReplyWriter.send(
        context, HttpErrors.reply(Failure.notRun(reason, "the request can't be taken")));
  }

  private void callerRequest(Context context, long number, String method, String path, String uri) {
    Configuration current = configuration.get();
    HttpHeaders headers = context.getRequest().getHeaders().getNettyHeaders();
    try {
      if (refusing) {
        context.getResponse().forceCloseConnection();
        throw ShallotholdException.of(ReasonCode.SERVER_LEAVING, "the gateway is leaving");
      }
      checkHeaders(uri, headers);
      RequestReader reader = reader(current, headers);
      boolean isService = path.startsWith(ServicePath.PREFIX);
      if (method.equals("GET") && path.equals("/v1/models")) {
        ReplyWriter.send(context, ModelList.of(reader));
        return;
      }
      boolean known =
          isService
              || (method.equals("POST") && (path.equals(COMPLETIONS) || path.equals(TICKETS)))
              || (isTicketPath(path) && (method.equals("GET") || method.equals("DELETE")));
      if (!known) {
        throw ShallotholdException.of(ReasonCode.NOT_FOUND, "there is nothing at this path");
      }
      ServiceClass serviceClass = reader.serviceClass();
      long deadlineMillis = reader.deadlineMillis(serviceClass);
      ServicePath servicePath = isService ? ServicePath.parse(uri) : null;
      // Checked ahead of reading, so that none of a body that is too large is held.
      if (context.getRequest().getContentLength() > maxBodyBytes) {
        context.getResponse().forceCloseConnection();
        ReplyWriter.send(context, bodyTooLarge(current, context));
        return;
      }
      context.getRequest().setIdleTimeout(Duration.ofMillis(deadlineMillis).plus(IDLE_MARGIN));
      context
          .getRequest()
          .getBody(maxBodyBytes)
          .onError(
              RequestBodyTooLargeException.class,
              error -> ReplyWriter.send(context, bodyTooLarge(current, context)))
          .map(body -> body.getBytes())
          .flatMap(
              body ->
                  serve(
                      context,
                      number,
                      reader,
                      serviceClass,
                      deadlineMillis,
                      () -> call(reader, serviceClass, method, path, servicePath, body)))
          .then(reply -> ReplyWriter.send(context, reply));
    } catch (ShallotholdException e) {
      ReplyWriter.send(
          context, refusal(current, context, e.reason(), String.valueOf(e.getMessage())));
    }
  }

  private static void checkHeaders(String uri, HttpHeaders headers) {
    int bytes = uri.length();
    for (Map.Entry<String, String> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + 4;
    }
    if (bytes > MAX_HEADER_BYTES) {
      throw ShallotholdException.of(
          ReasonCode.HEADERS_TOO_LARGE,
          "the headers are larger than " + MAX_HEADER_BYTES + " bytes");
    }
  }

  private RequestReader reader(Configuration current, HttpHeaders headers) {
    if (current.version().number() == 0) {
      throw ShallotholdException.of(
          ReasonCode.NOT_CONFIGURED, "the gateway holds no configuration yet");
    }
    Customer customer =
        authenticator
            .customer(current, headers.get("Authorization"))
            .orElseThrow(
                () ->
                    ShallotholdException.of(
                        ReasonCode.UNAUTHENTICATED, "no key, or a key of no customer"));
    return new RequestReader(current, headers, customer);
  }

  private static Call call(
      RequestReader reader,
      ServiceClass serviceClass,
      String method,
      String path,
      @Nullable ServicePath servicePath,
      byte[] body) {
    if (servicePath != null) {
      return reader.service(servicePath, method, body, serviceClass);
    }
    if (path.equals(COMPLETIONS)) {
      return reader.completion(body, serviceClass);
    }
    if (path.equals(TICKETS)) {
      return reader.newTicket(body, serviceClass);
    }
    // Some clients escape the tilde.
    String ticket = path.substring(TICKETS.length() + 1).replaceAll("(?i)%7e", "~");
    if (OrderTicket.parse(ticket).isEmpty()) {
      throw ShallotholdException.of(
          ReasonCode.ORDER_TICKET_INVALID, "the path names no order ticket");
    }
    return new Call.TicketLookup(ticket, method.equals("DELETE"));
  }

  private Promise<Reply> serve(
      Context context,
      long number,
      RequestReader reader,
      ServiceClass serviceClass,
      long deadlineMillis,
      Supplier<Call> call) {
    CallerRequest request;
    try {
      request =
          new CallerRequest(
              requestIdPrefix + number,
              number,
              reader.customer().name(),
              serviceClass,
              deadlineMillis,
              call.get());
    } catch (ShallotholdException e) {
      return Promise.value(
          refusal(reader.configuration(), context, e.reason(), String.valueOf(e.getMessage())));
    }
    Channel channel = context.getDirectChannelAccess().getChannel();
    return Promise.async(downstream -> hand(request, channel, downstream));
  }

  private void hand(CallerRequest request, Channel channel, Downstream<? super Reply> downstream) {
    HttpResponder responder =
        HttpResponder.watch(
            request,
            downstream,
            channel,
            () -> sink.put(new GatewayEvent.CallerDisconnected(request.number())));
    if (sink.offer(new GatewayEvent.Arrived(request, responder))) {
      responder.watchConnection();
    } else {
      Verdict verdict =
          request.call().namesTicket()
              ? Verdict.mayHaveRun(ReasonCode.QUEUE_FULL)
              : Verdict.notRun(ReasonCode.QUEUE_FULL, 1_000);
      responder.failed(
          Failure.of(ReasonCode.QUEUE_FULL, verdict, "the gateway has too many events to handle"));
    }
  }

  /**
   * Returns the answer to a request that this process rejects. An order with a ticket may have come
   * through another gateway before, so only its sidecar says "not run" of it.
   */
  private Reply.Whole refusal(
      Configuration current, Context context, ReasonCode reason, String message) {
    Verdict verdict =
        namesTicketedOrder(current, context)
            ? Verdict.mayHaveRun(reason)
            : Verdict.notRun(reason, isPassing(reason) ? 1_000 : 0);
    Failure failure = Failure.of(reason, verdict, message);
    requestMetrics.refused("none", failure);
    return HttpErrors.reply(failure);
  }

  private Reply.Whole bodyTooLarge(Configuration current, Context context) {
    return refusal(
        current,
        context,
        ReasonCode.BODY_TOO_LARGE,
        "the body is larger than " + maxBodyBytes + " bytes");
  }

  private static boolean isPassing(ReasonCode reason) {
    return reason == ReasonCode.NOT_CONFIGURED || reason == ReasonCode.SERVER_LEAVING;
  }

  private static boolean namesTicketedOrder(Configuration current, Context context) {
    String uri = context.getRequest().getRawUri();
    String ticket = context.getRequest().getHeaders().get(RequestReader.TICKET_HEADER);
    if (!uri.startsWith(ServicePath.PREFIX)
        || ticket == null
        || OrderTicket.parse(ticket.trim()).isEmpty()) {
      return false;
    }
    try {
      ServicePath path = ServicePath.parse(uri);
      String method = context.getRequest().getMethod().getName().toUpperCase(Locale.ROOT);
      return current
          .service(path.service())
          .map(service -> service.isOrder(method, path.path()))
          .orElse(true);
    } catch (ShallotholdException e) {
      return true;
    }
  }

  private static boolean isTicketPath(String path) {
    return path.startsWith(TICKETS + "/") && path.length() > TICKETS.length() + 1;
  }
}
