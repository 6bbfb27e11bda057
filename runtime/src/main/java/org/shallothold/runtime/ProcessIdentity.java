package org.shallothold.runtime;

import com.google.protobuf.ByteString;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.shallothold.wire.proto.Role;

/**
 * Who a process is. Made once at start; the incarnation is drawn anew each time, so that a
 * restarted process is never taken for the one before.
 *
 * @param processId name from the settings
 * @param role what the process does
 * @param failureDomain failure domain of its VM
 * @param serverId backend server that a sidecar stands before; empty for other processes
 * @param incarnation 16 random bytes
 */
public record ProcessIdentity(
    String processId, Role role, String failureDomain, String serverId, ByteString incarnation) {

  private static final int INCARNATION_BYTES = 16;

  /** Returns an identity with a new incarnation. */
  public static ProcessIdentity create(
      String processId, Role role, String failureDomain, String serverId) {
    byte[] incarnation = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(incarnation);
    return new ProcessIdentity(
        processId, role, failureDomain, serverId, ByteString.copyFrom(incarnation));
  }

  /** Returns the incarnation in lower-case hexadecimal. */
  public String incarnationText() {
    return HexFormat.of().formatHex(incarnation.toByteArray());
  }
}
