/** The caller's side: completions and orders over HTTP, with answers checked token by token. */
@NullMarked
package org.shallothold.experiment.caller;

import org.jspecify.annotations.NullMarked;
