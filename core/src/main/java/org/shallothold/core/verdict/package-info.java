/** What became of a request, and the codes that say why. */
@NullMarked
package org.shallothold.core.verdict;

import org.jspecify.annotations.NullMarked;
