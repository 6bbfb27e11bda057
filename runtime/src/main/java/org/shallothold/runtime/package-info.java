/** What every process shares: settings, logs, metrics, audit output and platform access. */
@NullMarked
package org.shallothold.runtime;

import org.jspecify.annotations.NullMarked;
