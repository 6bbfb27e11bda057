/**
 * The versioned configuration of service classes, customers, backend servers and plain services,
 * its validation, and the ordered history of patches that produces it.
 */
@NullMarked
package org.shallothold.core.config;

import org.jspecify.annotations.NullMarked;
