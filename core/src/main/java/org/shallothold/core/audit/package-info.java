/** The audit trail and its events. */
@NullMarked
package org.shallothold.core.audit;

import org.jspecify.annotations.NullMarked;
