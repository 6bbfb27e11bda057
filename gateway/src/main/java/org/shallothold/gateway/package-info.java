/** The process on an entry VM that takes callers' requests and routes them. */
@NullMarked
package org.shallothold.gateway;

import org.jspecify.annotations.NullMarked;
