/** Live and leaving processes, and who reads the platform. */
@NullMarked
package org.shallothold.core.membership;

import org.jspecify.annotations.NullMarked;
