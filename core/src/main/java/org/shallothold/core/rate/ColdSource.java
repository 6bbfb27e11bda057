package org.shallothold.core.rate;

import java.util.Locale;

/** Where the first gateway knew from that a backend server is cold. */
public enum ColdSource {
  /** The figure in the server's entry in the list of servers. */
  ENTRY,
  /** The figure in a response of the server. */
  RESPONSE,
  /** The gateway saw that the server started. */
  START,
  /** The evacuation of the server's failure domain ended. */
  EVACUATION_END;

  /** Returns the name in logs. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
