package org.shallothold.core.config;

import java.util.List;

/** Result of applying one configuration entry, whether patch or snapshot. */
public sealed interface PatchOutcome {

  /** The patch was accepted; the configuration that includes it is in force. */
  record Accepted(Configuration configuration, Patch patch) implements PatchOutcome {}

  /** The patch was refused because its base is not the current version. */
  record Conflict(Patch patch, ConfigurationVersion current) implements PatchOutcome {}

  /** The entry was refused as invalid or unreadable; no part of it is in force. */
  record Invalid(List<String> problems) implements PatchOutcome {
    /** Makes the list of problems immutable. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The entry was processed earlier, or is a snapshot that agrees with this history. */
  record Known() implements PatchOutcome {}

  /** Entries between the last processed one and this one are missing and must be fetched first. */
  record Gap(long expectedPosition) implements PatchOutcome {}

  /** The entry contradicts the history of this process, so two different histories exist. */
  record Contradiction(long position) implements PatchOutcome {}

  /** The history was started from the snapshot; its configuration is in force. */
  record Started(Configuration configuration) implements PatchOutcome {}
}
