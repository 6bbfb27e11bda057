package org.shallothold.runtime.settings;

/**
 * One problem of a settings file.
 *
 * @param file path of the file
 * @param line line of the key, from 1; 0 if the key is missing
 * @param key path of the key, as {@code listen.address}
 * @param found what was found
 * @param allowed what is allowed
 */
public record SettingsProblem(String file, int line, String key, String found, String allowed) {

  @Override
  public String toString() {
    String place = line == 0 ? file : file + ":" + line;
    return place + ": " + key + ": found " + found + "; allowed: " + allowed;
  }
}
