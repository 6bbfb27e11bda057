/** Settings of the sidecar. */
@NullMarked
package org.shallothold.sidecar.settings;

import org.jspecify.annotations.NullMarked;
