/** Settings in TOML, checked at start. */
@NullMarked
package org.shallothold.runtime.settings;

import org.jspecify.annotations.NullMarked;
