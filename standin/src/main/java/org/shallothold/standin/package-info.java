/** Stand-ins for the platform, model engines and plain services. */
@NullMarked
package org.shallothold.standin;

import org.jspecify.annotations.NullMarked;
