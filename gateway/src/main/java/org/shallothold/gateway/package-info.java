/** Gateway process: accepts callers' requests on an entry VM and routes them to sidecars. */
@NullMarked
package org.shallothold.gateway;

import org.jspecify.annotations.NullMarked;
