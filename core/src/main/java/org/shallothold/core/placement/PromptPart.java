package org.shallothold.core.placement;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id identity of the part's text
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
