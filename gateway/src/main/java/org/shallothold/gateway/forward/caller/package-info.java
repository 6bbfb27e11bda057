/** HTTP/1.1 connections of callers to a gateway that forwards requests directly. */
@NullMarked
package org.shallothold.gateway.forward.caller;

import org.jspecify.annotations.NullMarked;
