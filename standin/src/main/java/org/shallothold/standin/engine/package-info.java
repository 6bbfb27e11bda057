/** Stand-in for a model engine with continuous batching and a prefix cache. */
@NullMarked
package org.shallothold.standin.engine;

import org.jspecify.annotations.NullMarked;
