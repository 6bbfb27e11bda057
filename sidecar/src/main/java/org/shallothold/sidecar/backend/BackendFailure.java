package org.shallothold.sidecar.backend;

import org.shallothold.core.verdict.ReasonCode;

/**
 * Why a run at the backend server failed.
 *
 * @param reason code for the caller
 * @param detail text for the operators
 */
public record BackendFailure(ReasonCode reason, String detail) {}
