/** Structured JSON logging and the output of audit events. */
@NullMarked
package org.shallothold.runtime.logging;

import org.jspecify.annotations.NullMarked;
