package org.shallothold.gateway.forward;

import org.shallothold.gateway.forward.port.HeaderTranslation;

/** Gives tests in other packages the translation of the tests' header fields. */
public final class TestTranslations {

  private TestTranslations() {}

  /** Returns a translation. */
  public static HeaderTranslation create() {
    return new TestTranslation();
  }
}
