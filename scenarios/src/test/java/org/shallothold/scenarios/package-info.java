/** Scenarios in Gherkin over real processes, and the steps that they use. */
@NullMarked
package org.shallothold.scenarios;

import org.jspecify.annotations.NullMarked;
