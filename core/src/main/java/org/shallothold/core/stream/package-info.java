/** Assembly of answers from token frames, and parsing of event streams. */
@NullMarked
package org.shallothold.core.stream;

import org.jspecify.annotations.NullMarked;
