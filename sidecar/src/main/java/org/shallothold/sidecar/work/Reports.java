package org.shallothold.sidecar.work;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.LoadReport;

/** Builds the answers to operators and the load reports. Owned by the sidecar's thread. */
final class Reports {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_LISTED_REQUESTS = 256;

  private final ProcessIdentity identity;
  private final BackendScheduler scheduler;
  private final Jobs jobs;
  private final DecisionLog decisions;
  private final Drain drain;

  Reports(
      ProcessIdentity identity,
      BackendScheduler scheduler,
      Jobs jobs,
      DecisionLog decisions,
      Drain drain) {
    this.identity = identity;
    this.scheduler = scheduler;
    this.jobs = jobs;
    this.decisions = decisions;
    this.drain = drain;
  }

  Envelope load(long tokenIntervalMicros, int engineRunning) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setRunning(scheduler.runningCount())
            .setMaxRunning(scheduler.maxRunning())
            .setTokenIntervalMicros(tokenIntervalMicros)
            .setEngineRunning(engineRunning);
    for (int waiting : scheduler.waitingByTier()) {
      report.addWaitingByTier(waiting);
    }
    return Envelope.newBuilder().setLoadReport(report).build();
  }

  /** Returns what only a sidecar has to say of its status. */
  ObjectNode details(boolean fenced, int gateways) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("leaving_source", drain.source().map(LeavingSource::code).orElse(""));
    node.put("fenced", fenced);
    node.put("gateways", gateways);
    node.put("max_running", scheduler.maxRunning());
    ArrayNode waiting = node.putArray("waiting_by_tier");
    for (int count : scheduler.waitingByTier()) {
      waiting.add(count);
    }
    ArrayNode requests = node.putArray("requests");
    jobs.all().stream().limit(MAX_LISTED_REQUESTS).forEach(job -> requests.add(request(job)));
    return node;
  }

  /** Returns what happened to a request; empty if nothing is known. */
  Optional<ObjectNode> explain(String requestId) {
    List<DecisionLog.Event> known = decisions.of(requestId);
    if (known.isEmpty()) {
      return Optional.empty();
    }
    ObjectNode node = MAPPER.createObjectNode();
    node.put("process", identity.processId());
    node.put("request_id", requestId);
    ArrayNode events = node.putArray("events");
    known.forEach(
        event ->
            events
                .addObject()
                .put("time", Instant.ofEpochMilli(event.timeMillis()).toString())
                .put("event", event.event())
                .put("detail", event.detail()));
    return Optional.of(node);
  }

  private static ObjectNode request(Job job) {
    return MAPPER
        .createObjectNode()
        .put("request_id", job.submit.getRequestId())
        .put("class", job.work.serviceClass())
        .put("tier", job.work.tier())
        .put("customer", job.work.customer())
        .put("state", job.isRunning() ? "running" : "waiting")
        .put("order", job.isOrder())
        .put("tokens", job.tokens.size());
  }
}
