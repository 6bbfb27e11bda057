/** Events of the audit trail and its bounded memory. */
@NullMarked
package org.shallothold.core.audit;

import org.jspecify.annotations.NullMarked;
