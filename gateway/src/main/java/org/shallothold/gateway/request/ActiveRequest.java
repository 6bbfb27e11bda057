package org.shallothold.gateway.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.retry.AttemptTracker;
import org.shallothold.core.stream.AnswerAssembler;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.PeerConnection;

/**
 * A request in flight with its attempts and the answer so far. {@link RequestRouter} creates it on
 * arrival and drops it when it is answered. Confined to the router thread.
 */
final class ActiveRequest {

  // A longer answer would not fit into the single frame that resumes it on another server.
  private static final int MAX_ANSWER_CHARACTERS = 2 * 1024 * 1024;

  private final CallerRequest request;
  private final Responder responder;
  private final long arrivedMillis;
  private final AttemptTracker tracker;
  private final AnswerAssembler assembler = AnswerAssembler.create(MAX_ANSWER_CHARACTERS);
  private final List<PeerConnection> connections = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();

  private @Nullable ServerState server;
  private long expectedTokensOnServer;
  private long progressMillis;
  private boolean started;
  private boolean hasTokensFromAttempt;
  private @Nullable ReasonCode abandonReason;
  private long verdictDeadlineMillis;
  private long dueMillis;
  private ReasonCode lastReason = ReasonCode.NO_SERVER;
  private long firstTokenMillis = -1;
  private long lastTokenMillis = -1;

  ActiveRequest(CallerRequest request, Responder responder, long now) {
    this.request = request;
    this.responder = responder;
    this.arrivedMillis = now;
    this.tracker =
        request.call().namesTicket() ? AttemptTracker.forOrder() : AttemptTracker.forRepeatable();
  }

  long number() {
    return request.number();
  }

  CallerRequest request() {
    return request;
  }

  Call call() {
    return request.call();
  }

  Responder responder() {
    return responder;
  }

  AttemptTracker tracker() {
    return tracker;
  }

  AnswerAssembler assembler() {
    return assembler;
  }

  Set<String> excluded() {
    return excluded;
  }

  long arrivedMillis() {
    return arrivedMillis;
  }

  long deadlineMillis() {
    return arrivedMillis + request.deadlineMillis();
  }

  /** Returns the server of the current attempt, or null between attempts. */
  @Nullable ServerState server() {
    return server;
  }

  int attempt() {
    return tracker.attemptCount();
  }

  /** Begins an attempt at a server and returns the attempt's number, counted from 1. */
  int beginAttempt(ServerState chosen, PeerConnection connection, long expectedTokens, long now) {
    int attempt = tracker.begin();
    connections.add(connection);
    assembler.begin(attempt);
    server = chosen;
    expectedTokensOnServer = Math.max(1, expectedTokens - assembler.tokens().size());
    chosen.add(this, expectedTokensOnServer);
    progressMillis = now;
    started = false;
    hasTokensFromAttempt = false;
    return attempt;
  }

  /**
   * Detaches the request from the server of its current attempt. Later frames of that attempt only
   * contribute to the verdict.
   */
  void detach() {
    ServerState previous = server;
    if (previous != null) {
      previous.remove(this, expectedTokensOnServer);
    }
    server = null;
    assembler.begin(0);
  }

  /** Returns whether the given attempt was submitted over the given connection. */
  boolean isAttemptOn(int attempt, PeerConnection connection) {
    return attempt >= 1
        && attempt <= connections.size()
        && connections.get(attempt - 1) == connection;
  }

  /** Returns whether the attempt is the latest one and is still attached to a server. */
  boolean isCurrent(int attempt) {
    return server != null && attempt == tracker.attemptCount();
  }

  void recordStart(long now) {
    started = true;
    progressMillis = now;
  }

  boolean isStarted() {
    return started;
  }

  boolean hasTokensFromAttempt() {
    return hasTokensFromAttempt;
  }

  long progressMillis() {
    return progressMillis;
  }

  /**
   * Updates progress, token times and the server's outstanding tokens after new tokens of the
   * answer. At least one token stays outstanding until the attempt ends.
   */
  void recordTokens(int count, long now) {
    ServerState current = server;
    long decrease = Math.min(count, expectedTokensOnServer - 1);
    if (current != null && decrease > 0) {
      expectedTokensOnServer -= decrease;
      current.reduceOutstandingTokens(decrease);
    }
    started = true;
    hasTokensFromAttempt = true;
    progressMillis = now;
    firstTokenMillis = firstTokenMillis < 0 ? now : firstTokenMillis;
    lastTokenMillis = now;
  }

  long firstTokenMillis() {
    return firstTokenMillis;
  }

  long lastTokenMillis() {
    return lastTokenMillis;
  }

  /**
   * Marks the request as abandoned; from now on only its verdict is awaited.
   *
   * @param until time at which the wait for the verdict ends, in milliseconds
   */
  void abandon(ReasonCode reason, long until) {
    abandonReason = reason;
    verdictDeadlineMillis = until;
  }

  @Nullable ReasonCode abandonReason() {
    return abandonReason;
  }

  long verdictDeadlineMillis() {
    return verdictDeadlineMillis;
  }

  void lastReason(ReasonCode reason) {
    lastReason = reason;
  }

  ReasonCode lastReason() {
    return lastReason;
  }

  long dueMillis() {
    return dueMillis;
  }

  void dueMillis(long due) {
    dueMillis = due;
  }
}
