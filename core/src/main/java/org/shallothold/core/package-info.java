/**
 * Decision logic, state machines and value types of the router. Code here performs no input or
 * output and reads no clock: callers pass in events and times, which makes it testable without
 * threads or sockets.
 */
@NullMarked
package org.shallothold.core;

import org.jspecify.annotations.NullMarked;
