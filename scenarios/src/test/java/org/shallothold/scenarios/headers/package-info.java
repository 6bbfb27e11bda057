/** Callers whose requests consist of very many header lines, against real gateway processes. */
@NullMarked
package org.shallothold.scenarios.headers;

import org.jspecify.annotations.NullMarked;
