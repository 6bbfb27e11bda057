/** Mutual TLS between processes. */
@NullMarked
package org.shallothold.runtime.tls;

import org.jspecify.annotations.NullMarked;
