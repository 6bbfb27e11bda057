package org.shallothold.core.placement;

/**
 * A part of a prompt that several requests may share, the unit of the prefix cache estimate.
 *
 * @param id hash that identifies the part's text
 * @param tokens length of the part in tokens
 */
public record PromptPart(long id, int tokens) {}
