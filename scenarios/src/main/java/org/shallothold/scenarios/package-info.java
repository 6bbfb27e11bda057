/** Scripted scenarios over real processes. */
@NullMarked
package org.shallothold.scenarios;

import org.jspecify.annotations.NullMarked;
