package org.shallothold.core.crash;

import org.jspecify.annotations.Nullable;

/**
 * A change of how requests with a prompt part are handled, for logs and metrics.
 *
 * @param partId id of the part
 * @param former former standing
 * @param current new standing
 * @param assessment what is known of the part; null if it is no longer suspected
 */
public record StandingChange(
    long partId, PartStanding former, PartStanding current, @Nullable PartAssessment assessment) {}
