package org.shallothold.runtime.platform;

import java.util.List;
import java.util.Optional;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.membership.MembershipView;

/**
 * What the platform publishes, read only. A platform with another protocol needs another
 * implementation and nothing else. May be shared between threads.
 */
public interface ConfigurationSource {

  /**
   * Returns the entries after a position, in order.
   *
   * @param afterPosition position of the last known entry; 0 for all
   * @param waitMillis how long the platform may wait for a first entry, in milliseconds; 0 for no
   *     wait
   * @return the entries; empty if there are none; perhaps not all at once
   * @throws PlatformException if the platform can't be read
   */
  List<ConfigurationEntry> entriesAfter(long afterPosition, long waitMillis);

  /**
   * Returns the newest snapshot, or empty if there is none.
   *
   * @throws PlatformException if the platform can't be read
   */
  Optional<ConfigurationEntry> snapshot();

  /**
   * Returns the list of VMs.
   *
   * @throws PlatformException if the platform can't be read
   */
  MembershipView members();
}
