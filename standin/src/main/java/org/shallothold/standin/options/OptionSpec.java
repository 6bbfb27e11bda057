package org.shallothold.standin.options;

import org.jspecify.annotations.Nullable;

/**
 * One option of a subcommand.
 *
 * @param name long name without the dashes
 * @param defaultValue the value if the option is not given; null if the option takes no value
 * @param description text for {@code --help}
 */
public record OptionSpec(String name, @Nullable String defaultValue, String description) {

  /** Returns an option with a value. */
  public static OptionSpec value(String name, Object defaultValue, String description) {
    return new OptionSpec(name, defaultValue.toString(), description);
  }

  /** Returns an option without a value. */
  public static OptionSpec flag(String name, String description) {
    return new OptionSpec(name, null, description);
  }
}
