package org.shallothold.runtime.settings;

import java.nio.file.Path;
import java.util.List;

/**
 * A format of settings files that is read outside of the product, as by the adapter to a platform.
 * Found as a service, so that the operators' command can check such files without knowing them.
 */
public interface SettingsFormat {

  /** Returns whether a file is in this format, by its name. */
  boolean reads(Path file);

  /** Returns all problems for which a process would not start with the file; empty if none. */
  List<SettingsProblem> problems(Path file);
}
