package org.shallothold.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Guards against classes of the core that perform input or output or read a clock, which would make
 * its decisions depend on more than the events and times that are passed in.
 */
class ArchitectureTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.shallothold.core");

  @Test
  void coreUsesNoInputOrOutput() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..", "java.nio.file..", "java.nio.channels..", "java.net..", "io.netty..")
        .check(CORE);
  }

  @Test
  void coreReadsNoClock() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .check(CORE);
  }
}
