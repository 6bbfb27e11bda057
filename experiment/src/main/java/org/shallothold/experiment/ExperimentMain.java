package org.shallothold.experiment;

/** Main class of {@code bin/experiment}. */
public final class ExperimentMain {

  private ExperimentMain() {}

  /** Runs the experiment that the first argument names. */
  public static void main(String[] arguments) {
    System.err.println("no experiments yet");
    System.exit(2);
  }
}
