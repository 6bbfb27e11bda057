/**
 * A process's copy of the items that the platform publishes, such as the list of servers. The copy
 * survives outages of the platform and merges full listings, single changes and peer updates.
 */
@NullMarked
package org.shallothold.core.publish;

import org.jspecify.annotations.NullMarked;
