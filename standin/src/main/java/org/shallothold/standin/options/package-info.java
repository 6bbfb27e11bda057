/** Command-line options of the stand-ins. */
@NullMarked
package org.shallothold.standin.options;

import org.jspecify.annotations.NullMarked;
