package org.shallothold.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The version of this build; stateless. */
public final class ProductVersion {

  private static final String RESOURCE = "/org/shallothold/runtime/version.properties";

  private ProductVersion() {}

  /** Returns the version as the build wrote it, as {@code 0.1.0}. */
  public static String text() {
    Properties properties = new Properties();
    try (InputStream input = ProductVersion.class.getResourceAsStream(RESOURCE)) {
      if (input != null) {
        properties.load(input);
      }
    } catch (IOException e) {
      throw new IllegalStateException("the version resource can't be read", e);
    }
    return properties.getProperty("version", "unknown");
  }
}
