package org.shallothold.core.config;

import java.util.List;

/** What became of one published entry. */
public sealed interface PatchOutcome {

  /** The patch is in force. */
  record Accepted(Configuration configuration, Patch patch) implements PatchOutcome {}

  /** The patch was written against a version that is no longer the current one. */
  record Conflict(Patch patch, ConfigurationVersion current) implements PatchOutcome {}

  /** The patch, or its result, is not valid; nothing of it is in force. */
  record Invalid(List<String> problems) implements PatchOutcome {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The entry was known already. */
  record Known() implements PatchOutcome {}

  /** The entry does not follow the last one; entries in between must be fetched first. */
  record Gap(long expectedPosition) implements PatchOutcome {}

  /** The entry contradicts what this process holds at its position: two histories exist. */
  record Contradiction(long position) implements PatchOutcome {}

  /** The snapshot was taken as the starting point. */
  record Started(Configuration configuration) implements PatchOutcome {}
}
