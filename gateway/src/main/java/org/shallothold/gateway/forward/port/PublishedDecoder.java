package org.shallothold.gateway.forward.port;

import java.util.Optional;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.RestoreRules;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.route.RouteConfiguration;

/**
 * Decodes the items that the platform publishes. Methods throw nothing for items that can't be
 * decoded: they log the item with the reason and return empty.
 */
public interface PublishedDecoder {

  /** Returns the routing configuration of an item, or empty if the item holds no valid one. */
  Optional<RouteConfiguration> configuration(PublishedItem item);

  /**
   * Returns the version that the operators gave an item, by which it is compared with other writes
   * of the item; {@link RestoreRules#NO_VERSION} if it has none.
   */
  default long version(PublishedItem item) {
    return RestoreRules.NO_VERSION;
  }

  /**
   * Returns the failure domain whose evacuation an item of the configuration's topic asks for, or
   * empty if it asks for none. The evacuation lasts until the item is removed.
   */
  Optional<String> evacuatedDomain(PublishedItem item);

  /** Returns the backend server of an item, or empty if the item describes no usable server. */
  Optional<ServerEntry> server(PublishedItem item);

  /** Returns how long the backend server of an item stays cold, by its entry. */
  default ColdFigure coldFigure(PublishedItem item) {
    return ColdFigure.absent();
  }
}
