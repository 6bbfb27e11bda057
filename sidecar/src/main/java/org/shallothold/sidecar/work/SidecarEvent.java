package org.shallothold.sidecar.work;

import com.google.protobuf.ByteString;
import java.util.List;
import org.shallothold.core.config.Configuration;
import org.shallothold.sidecar.backend.BackendFailure;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Header;

/** An event of the thread that owns the sidecar's state. */
public sealed interface SidecarEvent {

  /** A process connected. */
  record Connected(PeerConnection connection) implements SidecarEvent {}

  /** A message arrived that is not about the configuration. */
  record Received(PeerConnection connection, Envelope envelope) implements SidecarEvent {}

  /** A connection closed. */
  record Disconnected(PeerConnection connection) implements SidecarEvent {}

  /** A new configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements SidecarEvent {}

  /** A source says that this server is leaving. */
  record LeavingLearnt(LeavingSource source) implements SidecarEvent {}

  /** Another sidecar commands the backend server. */
  record Fenced(long otherNumber) implements SidecarEvent {}

  /** The engine reported how many requests it runs; -1 if it can't be read. */
  record EngineLoad(int running) implements SidecarEvent {}

  /** Time has passed. */
  record Tick() implements SidecarEvent {}

  /** A second has passed. */
  record LoadReportDue() implements SidecarEvent {}

  /** Something happened to a run at the backend server. */
  sealed interface BackendEvent extends SidecarEvent {

    /** Returns the run; a run that was given up meanwhile matches no job. */
    RunId run();
  }

  /** Tokens of an answer arrived. */
  record TokensArrived(RunId run, List<String> tokens) implements BackendEvent {}

  /** The engine ended an answer with its end mark. */
  record AnswerFinished(RunId run, String finishReason) implements BackendEvent {}

  /** A plain service answered. */
  record ServiceAnswered(RunId run, int status, List<Header> headers, ByteString body)
      implements BackendEvent {}

  /** The backend server failed. */
  record RunFailed(RunId run, BackendFailure failure) implements BackendEvent {}

  /**
   * One run of a job at the backend server.
   *
   * @param jobId the job
   * @param number run of the job, from 1; a preempted job has several
   */
  record RunId(long jobId, int number) {}
}
