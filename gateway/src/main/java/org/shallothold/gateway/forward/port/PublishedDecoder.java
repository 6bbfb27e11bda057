package org.shallothold.gateway.forward.port;

import java.util.Optional;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.route.RouteConfiguration;

/** Decodes published items. An item that can't be decoded is logged by the decoder and skipped. */
public interface PublishedDecoder {

  /** Returns the configuration, or empty if the item isn't a valid one. */
  Optional<RouteConfiguration> configuration(PublishedItem item);

  /** Returns the backend server, or empty if the item names none that can be used. */
  Optional<ServerEntry> server(PublishedItem item);
}
