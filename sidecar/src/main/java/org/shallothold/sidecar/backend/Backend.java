package org.shallothold.sidecar.backend;

import java.util.List;
import org.shallothold.wire.proto.ServiceCall;

/** The backend server as the sidecar uses it. Its methods don't block. */
public interface Backend {

  /**
   * Starts a completion.
   *
   * @param body the caller's JSON body
   * @param priority tier of the request, lower first
   * @param resumeTokens tokens that the answer has already
   */
  BackendRun complete(
      byte[] body, int priority, List<String> resumeTokens, BackendListener listener);

  /** Starts a call of a plain service; an order ticket goes along as {@code Idempotency-Key}. */
  BackendRun call(ServiceCall call, BackendListener listener);
}
