/** Routes, customers and services of the configuration in force on the direct path. */
@NullMarked
package org.shallothold.core.route;

import org.jspecify.annotations.NullMarked;
