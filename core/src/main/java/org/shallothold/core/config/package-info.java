/** The typed, versioned configuration and the fold of patches that makes it. */
@NullMarked
package org.shallothold.core.config;

import org.jspecify.annotations.NullMarked;
