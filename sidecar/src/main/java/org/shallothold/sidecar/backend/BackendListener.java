package org.shallothold.sidecar.backend;

import com.google.protobuf.ByteString;
import java.util.List;
import org.shallothold.wire.proto.Header;

/** Receives what becomes of one run at the backend server. Called on HTTP threads. */
public interface BackendListener {

  /** Tokens arrived, at least one. */
  void tokens(List<String> tokens);

  /** The engine ended its answer with the end mark. Nothing follows. */
  void finished(String finishReason);

  /** A plain service answered. Nothing follows. */
  void answered(int status, List<Header> headers, ByteString body);

  /** The run failed; it may have had an effect. Nothing follows. */
  void failed(BackendFailure failure);
}
