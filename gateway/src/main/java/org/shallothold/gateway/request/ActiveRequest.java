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
 * One request in flight and its attempts. Made by {@link RequestRouter} on arrival, forgotten when
 * it is answered; owned by the thread of the requests.
 */
final class ActiveRequest {

  // An answer above it could not be resumed in one frame between processes.
  private static final int MAX_ANSWER_CHARACTERS = 2 * 1024 * 1024;

  private final CallerRequest request;
  private final Responder responder;
  private final long arrivedMillis;
  private final AttemptTracker tracker;
  private final AnswerAssembler assembler = AnswerAssembler.create(MAX_ANSWER_CHARACTERS);
  private final List<PeerConnection> connections = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();

  private @Nullable ServerState server;
  private long expectedHere;
  private long progressMillis;
  private boolean started;
  private boolean tokensHere;
  private @Nullable ReasonCode givenUp;
  private long concludeMillis;
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

  /** Begins an attempt at a server and returns its number. */
  int begin(ServerState chosen, PeerConnection connection, long expectedTokens, long now) {
    int attempt = tracker.begin();
    connections.add(connection);
    assembler.begin(attempt);
    server = chosen;
    expectedHere = Math.max(1, expectedTokens - assembler.tokens().size());
    chosen.add(this, expectedHere);
    progressMillis = now;
    started = false;
    tokensHere = false;
    return attempt;
  }

  /** Ends the current attempt on this side; its later frames count only as evidence. */
  void detach() {
    ServerState left = server;
    if (left != null) {
      left.remove(this, expectedHere);
    }
    server = null;
    assembler.begin(0);
  }

  /** Returns whether an attempt was made over a connection. */
  boolean isAttemptOn(int attempt, PeerConnection connection) {
    return attempt >= 1
        && attempt <= connections.size()
        && connections.get(attempt - 1) == connection;
  }

  /** Returns whether an attempt is the one that may still bring the answer. */
  boolean isCurrent(int attempt) {
    return server != null && attempt == tracker.attemptCount();
  }

  void started(long now) {
    started = true;
    progressMillis = now;
  }

  boolean isStarted() {
    return started;
  }

  boolean hasTokensHere() {
    return tokensHere;
  }

  long progressMillis() {
    return progressMillis;
  }

  /** Notes accepted tokens. */
  void delivered(int count, long now) {
    ServerState here = server;
    long less = Math.min(count, expectedHere - 1);
    if (here != null && less > 0) {
      expectedHere -= less;
      here.delivered(less);
    }
    started = true;
    tokensHere = true;
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

  /** Notes that the request is given up and only its verdict is awaited. */
  void giveUp(ReasonCode reason, long until) {
    givenUp = reason;
    concludeMillis = until;
  }

  @Nullable ReasonCode givenUp() {
    return givenUp;
  }

  long concludeMillis() {
    return concludeMillis;
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
