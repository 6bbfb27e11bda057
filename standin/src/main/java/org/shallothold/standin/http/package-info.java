/** A small HTTP/1.1 server on the loopback address, shared by the stand-ins. */
@NullMarked
package org.shallothold.standin.http;

import org.jspecify.annotations.NullMarked;
