/** Access to what the platform publishes. */
@NullMarked
package org.shallothold.runtime.platform;

import org.jspecify.annotations.NullMarked;
