package org.shallothold.sidecar.work;

import java.util.Locale;

/** Where a sidecar learns that its server is leaving. */
public enum LeavingSource {
  /** The configuration marks the server as draining. */
  CONFIGURATION,
  /** The platform's list says so. */
  MEMBERS,
  /** A gateway said so. */
  PEER,
  /** The process got SIGTERM. */
  SIGNAL;

  /** Returns the name as it stands in messages. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
