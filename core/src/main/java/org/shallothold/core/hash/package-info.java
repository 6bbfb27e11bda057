/** Deterministic hash functions that processes use to agree on choices. */
@NullMarked
package org.shallothold.core.hash;

import org.jspecify.annotations.NullMarked;
