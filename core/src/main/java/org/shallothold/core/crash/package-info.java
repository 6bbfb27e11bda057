/**
 * Finds the prompt parts that end the model engines which begin to answer them, from what the
 * gateways see of engines' ends and of answers.
 */
@NullMarked
package org.shallothold.core.crash;

import org.jspecify.annotations.NullMarked;
