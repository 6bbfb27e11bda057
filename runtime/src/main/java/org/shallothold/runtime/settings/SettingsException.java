package org.shallothold.runtime.settings;

import java.util.List;
import java.util.stream.Collectors;

/** All problems of a settings file at once. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  private SettingsException(List<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns an exception for at least one problem. */
  public static SettingsException of(List<SettingsProblem> problems) {
    return new SettingsException(problems);
  }

  /** Returns the problems in the order of the file. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
