/** Assembly of an answer from the frames of its attempts. */
@NullMarked
package org.shallothold.core.stream;

import org.jspecify.annotations.NullMarked;
