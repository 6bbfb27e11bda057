package org.shallothold.sidecar.work;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.time.Instant;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ExplainReport;
import org.shallothold.wire.proto.LoadReport;
import org.shallothold.wire.proto.StatusReport;

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
            .setRunning(scheduler.running())
            .setMaxRunning(scheduler.maxRunning())
            .setTokenIntervalMicros(tokenIntervalMicros)
            .setEngineRunning(engineRunning);
    for (int waiting : scheduler.waitingByTier()) {
      report.addWaitingByTier(waiting);
    }
    return Envelope.newBuilder().setLoadReport(report).build();
  }

  Envelope status(long callNumber, Configuration configuration, boolean fenced, int gateways) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("process", identity.processId());
    node.put("role", "sidecar");
    node.put("server_id", identity.serverId());
    node.put("failure_domain", identity.failureDomain());
    node.put("incarnation", identity.incarnationText());
    node.put("config_version", configuration.version().number());
    node.put("config_digest", configuration.version().digest());
    node.put("leaving", drain.isLeaving());
    node.put("leaving_source", drain.source().map(LeavingSource::code).orElse(""));
    node.put("fenced", fenced);
    node.put("gateways", gateways);
    node.put("running", scheduler.running());
    node.put("max_running", scheduler.maxRunning());
    ArrayNode waiting = node.putArray("waiting_by_tier");
    for (int count : scheduler.waitingByTier()) {
      waiting.add(count);
    }
    ArrayNode requests = node.putArray("requests");
    jobs.all().stream().limit(MAX_LISTED_REQUESTS).forEach(job -> requests.add(request(job)));
    return Envelope.newBuilder()
        .setStatusReport(StatusReport.newBuilder().setCallNumber(callNumber).setJson(bytes(node)))
        .build();
  }

  Envelope explain(long callNumber, String requestId) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("process", identity.processId());
    node.put("request_id", requestId);
    ArrayNode events = node.putArray("events");
    decisions
        .of(requestId)
        .forEach(
            event ->
                events
                    .addObject()
                    .put("time", Instant.ofEpochMilli(event.timeMillis()).toString())
                    .put("event", event.event())
                    .put("detail", event.detail()));
    return Envelope.newBuilder()
        .setExplainReport(ExplainReport.newBuilder().setCallNumber(callNumber).setJson(bytes(node)))
        .build();
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

  private static ByteString bytes(ObjectNode node) {
    try {
      return ByteString.copyFrom(MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
