package org.shallothold.gateway.http;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP response that is ready to be sent. */
sealed interface Reply {

  /** A response whose body is complete. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared; copied nowhere else.
  record Whole(int status, String contentType, Map<String, String> headers, byte[] body)
      implements Reply {
    public Whole {
      headers = Collections.unmodifiableMap(new LinkedHashMap<>(headers));
    }
  }

  /** A plain service's response, with its own headers. */
  record Passed(org.shallothold.wire.proto.ServiceAnswer answer) implements Reply {}

  /** A stream of server-sent events. */
  record Stream(EventStream events) implements Reply {}
}
