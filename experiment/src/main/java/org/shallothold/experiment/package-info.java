/** Starts processes on loopback, loads them and measures the outcome. */
@NullMarked
package org.shallothold.experiment;

import org.jspecify.annotations.NullMarked;
