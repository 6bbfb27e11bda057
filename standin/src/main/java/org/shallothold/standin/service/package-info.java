/** Stand-in for a plain order-and-stock service. */
@NullMarked
package org.shallothold.standin.service;

import org.jspecify.annotations.NullMarked;
