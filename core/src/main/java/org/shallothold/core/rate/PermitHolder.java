package org.shallothold.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The permits of one gateway for requests to servers with a rate limit, and what it asked their
 * coordinators. A permit is asked for by one request; if that request went elsewhere before the
 * answer, another may use it for a short time. Owned by one thread.
 */
public final class PermitHolder {

  // Longest time for which a question matters.
  private static final long MAX_AGE_MILLIS = PermitTerms.forStatedRate().maxAgeMillis();
  // Coordinators answer at once. A request waits no longer for one that is frozen or gone.
  private static final long ANSWER_TIMEOUT_MILLIS = 40;
  private static final long REPEAT_INTERVAL_MILLIS = 100;
  // Servers whose coordinators are asked for one request within the time above. With many limited
  // servers, a request would else ask for each of them.
  private static final int MAX_QUESTIONS_PER_REQUEST = 2;
  private static final long FIRST_PAUSE_MILLIS = 20;

  private final Map<String, ServerPermits> permitsByServer = new HashMap<>();
  // Times of the latest questions for each request, the oldest request first.
  private final Map<Long, Deque<Long>> questionMillisByRequest = new LinkedHashMap<>();

  private PermitHolder() {}

  /** Returns a holder without permits. */
  public static PermitHolder create() {
    return new PermitHolder();
  }

  /** Whether a request may be sent to a server. */
  public enum State {
    /** There is a permit. */
    ADMITTED,
    /** The coordinator was asked for this request and may answer soon. */
    AWAITS_ANSWER,
    /** The coordinator has no permit or did not answer; it should not be asked again yet. */
    DENIED,
    /** The coordinator should be asked for this request. */
    SHOULD_ASK
  }

  private record Question(long askedMillis, boolean answered) {}

  /** Permits for one instance of a server, and the questions of requests that wanted one. */
  private static final class ServerPermits {
    private final long instanceStartMillis;
    private final Deque<Long> expiryMillis = new ArrayDeque<>();
    // By request number, the oldest question first.
    private final Map<Long, Question> questions = new LinkedHashMap<>();
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private long pauseMillis;

    private ServerPermits(long instanceStartMillis) {
      this.instanceStartMillis = instanceStartMillis;
    }

    private void recordDenial(PermitTerms terms, long nowMillis) {
      if (nowMillis >= pausedUntilMillis && terms.maxPauseMillis() > 0) {
        pauseMillis = Math.clamp(2 * pauseMillis, FIRST_PAUSE_MILLIS, terms.maxPauseMillis());
        pausedUntilMillis = nowMillis + pauseMillis;
      }
    }

    private void dropExpired(long nowMillis) {
      expiryMillis.removeIf(expiry -> expiry < nowMillis);
      Iterator<Question> oldest = questions.values().iterator();
      while (oldest.hasNext() && nowMillis - oldest.next().askedMillis() > MAX_AGE_MILLIS) {
        oldest.remove();
      }
    }
  }

  /**
   * Returns whether a request may be sent to a server, and else what it should do.
   *
   * @param requestNumber number that this gateway gave the request
   */
  public State state(
      String serverId, long instanceStartMillis, long requestNumber, long nowMillis) {
    ServerPermits permits = permits(serverId, instanceStartMillis);
    permits.dropExpired(nowMillis);
    if (!permits.expiryMillis.isEmpty()) {
      return State.ADMITTED;
    }
    Question question = permits.questions.get(requestNumber);
    if (question == null || nowMillis - question.askedMillis() >= REPEAT_INTERVAL_MILLIS) {
      boolean mayAsk =
          nowMillis >= permits.pausedUntilMillis && questionsLeft(requestNumber, nowMillis) > 0;
      return mayAsk ? State.SHOULD_ASK : State.DENIED;
    }
    boolean mayBeAnswered =
        !question.answered() && nowMillis - question.askedMillis() < ANSWER_TIMEOUT_MILLIS;
    return mayBeAnswered ? State.AWAITS_ANSWER : State.DENIED;
  }

  private int questionsLeft(long requestNumber, long nowMillis) {
    Deque<Long> asked = questionMillisByRequest.get(requestNumber);
    if (asked == null) {
      return MAX_QUESTIONS_PER_REQUEST;
    }
    asked.removeIf(millis -> nowMillis - millis >= REPEAT_INTERVAL_MILLIS);
    return MAX_QUESTIONS_PER_REQUEST - asked.size();
  }

  /** Returns whether there is a permit for a server. */
  public boolean hasPermit(String serverId, long instanceStartMillis, long nowMillis) {
    ServerPermits permits = permits(serverId, instanceStartMillis);
    permits.dropExpired(nowMillis);
    return !permits.expiryMillis.isEmpty();
  }

  /** Records that the coordinator of a server is asked for a permit for a request. */
  public void recordQuestion(
      String serverId, long instanceStartMillis, long requestNumber, long nowMillis) {
    Map<Long, Question> questions = permits(serverId, instanceStartMillis).questions;
    questions.remove(requestNumber);
    questions.put(requestNumber, new Question(nowMillis, false));
    Iterator<Deque<Long>> oldest = questionMillisByRequest.values().iterator();
    while (oldest.hasNext() && isOutdated(oldest.next(), nowMillis)) {
      oldest.remove();
    }
    questionMillisByRequest
        .computeIfAbsent(requestNumber, number -> new ArrayDeque<>())
        .addLast(nowMillis);
  }

  private static boolean isOutdated(Deque<Long> asked, long nowMillis) {
    return asked.isEmpty() || nowMillis - asked.getLast() >= REPEAT_INTERVAL_MILLIS;
  }

  /**
   * Records the answer to a question about a server that states a rate.
   *
   * @param granted whether it is a permit
   * @param askedMillis time of the question
   */
  public void recordAnswer(
      String serverId,
      long instanceStartMillis,
      long requestNumber,
      boolean granted,
      long askedMillis,
      long nowMillis) {
    recordAnswer(
        serverId,
        instanceStartMillis,
        requestNumber,
        granted,
        askedMillis,
        PermitTerms.forStatedRate(),
        nowMillis);
  }

  /**
   * Records the answer to a question.
   *
   * @param granted whether it is a permit
   * @param askedMillis time of the question
   * @param terms terms of the server's permits
   */
  public void recordAnswer(
      String serverId,
      long instanceStartMillis,
      long requestNumber,
      boolean granted,
      long askedMillis,
      PermitTerms terms,
      long nowMillis) {
    ServerPermits permits = permits(serverId, instanceStartMillis);
    permits.questions.computeIfPresent(
        requestNumber, (number, question) -> new Question(question.askedMillis(), true));
    long expiry = Math.min(nowMillis + terms.maxUnusedMillis(), askedMillis + terms.maxAgeMillis());
    if (granted && expiry >= nowMillis) {
      permits.expiryMillis.addLast(expiry);
    }
    if (granted) {
      permits.pauseMillis = 0;
    } else {
      permits.recordDenial(terms, nowMillis);
    }
  }

  /**
   * Uses up one permit for a request that is being sent.
   *
   * @return whether there was a permit
   */
  public boolean tryUse(String serverId, long instanceStartMillis, long nowMillis) {
    if (!hasPermit(serverId, instanceStartMillis, nowMillis)) {
      return false;
    }
    permits(serverId, instanceStartMillis).expiryMillis.removeFirst();
    return true;
  }

  /** Returns the number of permits for all servers. */
  public int permits(long nowMillis) {
    permitsByServer.values().forEach(permits -> permits.dropExpired(nowMillis));
    return permitsByServer.values().stream().mapToInt(permits -> permits.expiryMillis.size()).sum();
  }

  /** Drops the permits for a server, which must not get requests at the rate of their issue. */
  public void drop(String serverId) {
    permitsByServer.remove(serverId);
  }

  /** Keeps the state of the given servers only. */
  public void retain(Predicate<String> servers) {
    permitsByServer.keySet().removeIf(servers.negate());
  }

  private ServerPermits permits(String serverId, long instanceStartMillis) {
    ServerPermits known = permitsByServer.get(serverId);
    if (known == null || known.instanceStartMillis < instanceStartMillis) {
      known = new ServerPermits(instanceStartMillis);
      permitsByServer.put(serverId, known);
    }
    return known;
  }
}
