/** Stand-in for the platform's configuration service and membership list. */
@NullMarked
package org.shallothold.standin.platform;

import org.jspecify.annotations.NullMarked;
