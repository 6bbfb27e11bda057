/** Hashes that all processes compute alike. */
@NullMarked
package org.shallothold.core.hash;

import org.jspecify.annotations.NullMarked;
