package org.shallothold.core.rate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.publish.PublishedPosition;

/**
 * The backend servers that are cold, by id, and until when. Each source has its own end, and a
 * server is cold until the last of them: nothing that one source states shortens what another
 * stated. Entries outlive the listing of their server, and count for every instance with its id,
 * since a gateway may still list the former one. Not thread-safe.
 *
 * <p>An entry or a start counts from the time at which the gateway first learned of it, by itself
 * or from another: what a gateway reads late moves no end. Gateways pass on what they learn from
 * others. So that this can't keep a server cold, each statement carries the number of gateways that
 * passed it on, is dropped after {@link #MAX_DISTANCE} of them, and moves the end that is known
 * from that distance only if it differs by more than the delays between gateways.
 */
public final class ColdServers {

  /** Number of gateways over which a statement is passed on. */
  static final int MAX_DISTANCE = 4;

  /**
   * Difference up to which the end of a server's cold time counts as the same, in milliseconds.
   * What others state counts for this much longer.
   */
  static final long SAME_END_MILLIS = 250;

  // Far above the number of servers that are cold at the same time.
  private static final int MAX_SERVERS = 10_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, ColdServer> coldServers = boundedMap();
  // These outlive the cold time, so that a statement that comes late is known as an old one.
  private final Map<String, EntryFigure> figuresByServer = boundedMap();
  private final Map<String, Long> startedInstances = boundedMap();

  private ColdServers() {}

  /** Returns an instance without cold servers. */
  public static ColdServers create() {
    return new ColdServers();
  }

  /** How a statement changed what is known of a server. */
  public enum Change {
    /** The end of its cold time is the same as before. */
    NONE,
    /** It was not cold before. */
    BEGUN,
    /** It stays cold for longer. */
    EXTENDED
  }

  /**
   * A server's time of being cold.
   *
   * @param instanceStartMillis start time of the instance of which this was last stated
   * @param sinceMillis time at which it became known
   * @param untilMillis time at which it ends
   * @param firstSource source by which it became known
   * @param lastSource source with the latest end
   */
  public record ColdTime(
      long instanceStartMillis,
      long sinceMillis,
      long untilMillis,
      ColdSource firstSource,
      ColdSource lastSource) {}

  /**
   * The figure of a server's latest entry.
   *
   * @param position position at which the entry was published
   * @param warm whether the entry said that the server isn't cold
   */
  private record EntryFigure(PublishedPosition position, boolean warm) {}

  /** Ends of a cold time by one source, by the number of gateways that passed them on. */
  private static final class Ends {
    private final long[] byDistance = new long[MAX_DISTANCE + 1];
    private PublishedPosition position = PublishedPosition.NONE;

    private Ends() {
      clear();
    }

    private void clear() {
      Arrays.fill(byDistance, NEVER);
    }

    private void record(int distance, long endMillis) {
      boolean moves =
          distance == 0
              ? endMillis > byDistance[0]
              : endMillis > byDistance[distance] + SAME_END_MILLIS;
      if (moves) {
        byDistance[distance] = endMillis;
      }
    }

    private long latest() {
      return Arrays.stream(byDistance).max().orElse(NEVER);
    }

    /** Returns the smallest distance with the latest end, among those up to a limit. */
    private int distanceOfLatest(int maxDistance) {
      int best = 0;
      for (int distance = 1; distance <= maxDistance; distance++) {
        if (byDistance[distance] > byDistance[best]) {
          best = distance;
        }
      }
      return best;
    }

    private long until() {
      long ofOthers = NEVER;
      for (int distance = 1; distance <= MAX_DISTANCE; distance++) {
        ofOthers = Math.max(ofOthers, byDistance[distance]);
      }
      return Math.max(byDistance[0], ofOthers + SAME_END_MILLIS);
    }
  }

  /** What is known of one server. */
  private static final class ColdServer {
    private final Map<ColdSource, Ends> endsBySource = new EnumMap<>(ColdSource.class);
    private long instanceStartMillis;
    private double requestsPerSecond;
    private long sinceMillis;
    private ColdSource firstSource = ColdSource.ENTRY;

    private Ends ends(ColdSource source) {
      return endsBySource.computeIfAbsent(source, key -> new Ends());
    }

    private long latestEnd() {
      return endsBySource.values().stream().mapToLong(Ends::latest).max().orElse(NEVER);
    }

    private long until() {
      return endsBySource.values().stream().mapToLong(Ends::until).max().orElse(NEVER);
    }

    private ColdTime coldTime() {
      ColdSource lastSource =
          endsBySource.entrySet().stream()
              .max(Map.Entry.comparingByValue((a, b) -> Long.compare(a.until(), b.until())))
              .map(Map.Entry::getKey)
              .orElse(firstSource);
      return new ColdTime(instanceStartMillis, sinceMillis, until(), firstSource, lastSource);
    }
  }

  // Statements that a gateway learned by itself

  /** Records what a server's response stated. */
  public Change recordResponse(
      String serverId, long instanceStartMillis, long remainingMillis, long nowMillis) {
    return record(
        serverId,
        instanceStartMillis,
        new ColdReport.Time(ColdSource.RESPONSE, remainingMillis, 0, PublishedPosition.NONE),
        0,
        nowMillis);
  }

  /** Records that a server started, unless that is known of this instance. */
  public Change recordStart(
      String serverId, long instanceStartMillis, long remainingMillis, long nowMillis) {
    return record(
        serverId,
        instanceStartMillis,
        new ColdReport.Time(ColdSource.START, remainingMillis, 0, PublishedPosition.NONE),
        0,
        nowMillis);
  }

  /** Returns whether this or a later entry of the server is not known yet. */
  public boolean isNewEntry(String serverId, PublishedPosition position) {
    EntryFigure known = figuresByServer.get(serverId);
    return known == null || position.isAfter(known.position());
  }

  /**
   * Records the figure of a server's entry, once for each position: an entry that is read again
   * says nothing new.
   *
   * @param remainingMillis time for which the server stays cold; 0 if it isn't, which ends the time
   *     assumed after an evacuation that ended before the entry was written
   */
  public Change recordEntry(
      String serverId,
      long instanceStartMillis,
      PublishedPosition position,
      long remainingMillis,
      long nowMillis) {
    if (remainingMillis > 0) {
      return record(
          serverId,
          instanceStartMillis,
          new ColdReport.Time(ColdSource.ENTRY, remainingMillis, 0, position),
          0,
          nowMillis);
    }
    if (isNewEntry(serverId, position)) {
      figuresByServer.put(serverId, new EntryFigure(position, true));
      ColdServer known = coldServers.get(serverId);
      Ends evacuation = known == null ? null : known.endsBySource.get(ColdSource.EVACUATION_END);
      if (evacuation != null && position.isAfter(evacuation.position)) {
        evacuation.clear();
      }
    }
    return Change.NONE;
  }

  /** Records that a server's entry says nothing of whether the server is cold. */
  public void recordEntryWithoutFigure(String serverId, PublishedPosition position) {
    if (isNewEntry(serverId, position)) {
      figuresByServer.put(serverId, new EntryFigure(position, false));
    }
  }

  /**
   * Records that the evacuation of a server's failure domain ended.
   *
   * @param position position up to which the end is known; a later entry may end the cold time
   */
  public Change recordEvacuationEnd(
      String serverId,
      long instanceStartMillis,
      PublishedPosition position,
      long remainingMillis,
      long nowMillis) {
    return record(
        serverId,
        instanceStartMillis,
        new ColdReport.Time(ColdSource.EVACUATION_END, remainingMillis, 0, position),
        0,
        nowMillis);
  }

  // Statements of other gateways

  /**
   * Records what another gateway reported. What was passed on too often is used, but not passed on.
   */
  public Change recordReport(String serverId, ColdReport report, long nowMillis) {
    Change change = Change.NONE;
    for (ColdReport.Time time : report.times()) {
      int distance = Math.clamp(time.distance() + 1L, 1, MAX_DISTANCE);
      Change added = record(serverId, report.instanceStartMillis(), time, distance, nowMillis);
      change = change == Change.NONE ? added : change;
    }
    ColdServer server = coldServers.get(serverId);
    if (server != null && report.requestsPerSecond() > 0) {
      server.requestsPerSecond = report.requestsPerSecond();
    }
    return change;
  }

  private Change record(
      String serverId,
      long instanceStartMillis,
      ColdReport.Time time,
      int distance,
      long nowMillis) {
    long remainingMillis = Math.min(time.remainingMillis(), ColdFigure.MAX_MILLIS);
    if (remainingMillis <= 0 || !learn(serverId, instanceStartMillis, time)) {
      return Change.NONE;
    }
    ColdServer server = coldServers.computeIfAbsent(serverId, id -> new ColdServer());
    long formerEnd = server.latestEnd();
    boolean wasCold = server.until() > nowMillis;
    Ends ends = server.ends(time.source());
    ends.record(distance, nowMillis + remainingMillis);
    ends.position = ends.position.latest(time.position());
    server.instanceStartMillis = instanceStartMillis;
    if (!wasCold) {
      server.sinceMillis = nowMillis;
      server.firstSource = time.source();
      return Change.BEGUN;
    }
    return server.latestEnd() > formerEnd + SAME_END_MILLIS ? Change.EXTENDED : Change.NONE;
  }

  /** Returns whether a statement says something new, and remembers it. */
  private boolean learn(String serverId, long instanceStartMillis, ColdReport.Time time) {
    return switch (time.source()) {
      case ENTRY -> {
        boolean isNew = isNewEntry(serverId, time.position());
        if (isNew) {
          figuresByServer.put(serverId, new EntryFigure(time.position(), false));
        }
        yield isNew;
      }
      case START -> {
        Long known = startedInstances.put(serverId, instanceStartMillis);
        yield known == null || known != instanceStartMillis;
      }
      case EVACUATION_END -> {
        EntryFigure figure = figuresByServer.get(serverId);
        yield figure == null || !figure.warm() || !figure.position().isAfter(time.position());
      }
      case RESPONSE -> true;
    };
  }

  // Views

  /** Returns whether no server is known to be cold, which may include some whose time has ended. */
  public boolean isEmpty() {
    return coldServers.isEmpty();
  }

  /** Returns whether a server is cold. */
  public boolean isCold(String serverId, long nowMillis) {
    ColdServer server = coldServers.get(serverId);
    return server != null && server.until() > nowMillis;
  }

  /** Returns the time for which a server is cold; null if it isn't. */
  public @Nullable ColdTime coldTime(String serverId, long nowMillis) {
    ColdServer server = coldServers.get(serverId);
    return server == null || server.until() <= nowMillis ? null : server.coldTime();
  }

  /**
   * Returns the rate that another gateway stated for a cold server, in requests per second; 0 if
   * none did.
   */
  public double reportedRequestsPerSecond(String serverId) {
    ColdServer server = coldServers.get(serverId);
    return server == null ? 0 : server.requestsPerSecond;
  }

  /**
   * Returns what to tell all other gateways about a server; null if there is nothing.
   *
   * @param requestsPerSecond rate that the server tolerates while it is cold; 0 if unknown
   */
  public @Nullable ColdReport report(String serverId, double requestsPerSecond, long nowMillis) {
    return report(serverId, requestsPerSecond, MAX_DISTANCE - 1, nowMillis);
  }

  /**
   * Returns what to tell the coordinator of a server, which may not have learned it from others;
   * null if there is nothing.
   *
   * @param requestsPerSecond rate that the server tolerates while it is cold; 0 if unknown
   */
  public @Nullable ColdReport reportToCoordinator(
      String serverId, double requestsPerSecond, long nowMillis) {
    return report(serverId, requestsPerSecond, MAX_DISTANCE, nowMillis);
  }

  private @Nullable ColdReport report(
      String serverId, double requestsPerSecond, int maxDistance, long nowMillis) {
    ColdServer server = coldServers.get(serverId);
    if (server == null) {
      return null;
    }
    List<ColdReport.Time> times = new ArrayList<>();
    server.endsBySource.forEach(
        (source, ends) -> {
          int distance = ends.distanceOfLatest(maxDistance);
          long remainingMillis = ends.byDistance[distance] - nowMillis;
          if (remainingMillis > 0) {
            times.add(new ColdReport.Time(source, remainingMillis, distance, ends.position));
          }
        });
    return times.isEmpty()
        ? null
        : new ColdReport(
            server.instanceStartMillis,
            requestsPerSecond > 0 ? requestsPerSecond : server.requestsPerSecond,
            times);
  }

  /** Returns the ids of the servers that are cold, or were until their removal. */
  public Collection<String> servers() {
    return coldServers.keySet();
  }

  /** Removes the servers whose cold time has ended, and returns their times by id. */
  public Map<String, ColdTime> removeEnded(long nowMillis) {
    if (coldServers.isEmpty()) {
      return Map.of();
    }
    Map<String, ColdTime> ended = new HashMap<>();
    coldServers.forEach(
        (id, server) -> {
          if (server.until() <= nowMillis) {
            ended.put(id, server.coldTime());
          }
        });
    ended.keySet().forEach(coldServers::remove);
    return ended;
  }

  private static <V> Map<String, V> boundedMap() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > MAX_SERVERS;
      }
    };
  }
}
