/** HTTP/1.1 connections of the gateway to backend servers. */
@NullMarked
package org.shallothold.gateway.forward.backend;

import org.jspecify.annotations.NullMarked;
