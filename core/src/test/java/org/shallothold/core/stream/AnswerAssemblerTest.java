package org.shallothold.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a caller seeing a token twice, a gap, a foreign token or a cut answer as whole.
 */
class AnswerAssemblerTest {

  /**
   * Steps: {@code bN} begins attempt N; {@code N@O:xy} is a frame of attempt N at offset O with the
   * tokens x and y; {@code N=C} is the end mark of attempt N with count C.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "whole answer,                    b1 1@0:ab 1@2:c 1=3,           Accepted Accepted Complete, abc",
    "doubled frame,                   b1 1@0:ab 1@0:ab 1@2:c 1=3,    Accepted Duplicate Accepted Complete, abc",
    "part of a frame again,           b1 1@0:abc 1@1:b 1=3,          Accepted Duplicate Complete, abc",
    "gap,                             b1 1@0:a 1@2:c 1@1:b 1=3,      Accepted Broken Foreign Foreign, a",
    "overlap beyond the end,          b1 1@0:ab 1@1:bc 1=3,          Accepted Broken Foreign, ab",
    "negative offset,                 b1 1@-1:a 1=0,                 Broken Foreign, ''",
    "cut: fewer tokens than counted,  b1 1@0:a 1=2,                  Accepted Broken, a",
    "more tokens than counted,        b1 1@0:ab 1=1,                 Accepted Broken, ab",
    "end mark of another attempt,     b1 1@0:a 2=1 1=1,              Accepted Foreign Complete, a",
    "late frame of a former attempt,  b1 1@0:a b2 1@1:x 2@1:b 2=2,   Accepted Foreign Accepted Complete, ab",
    "resume after a gap,              b1 1@0:a 1@3:d b2 2@1:b 2=2,   Accepted Broken Accepted Complete, ab",
    "resume from the start again,     b1 1@0:ab b2 2@0:ab 2@2:c 2=3, Accepted Duplicate Accepted Complete, abc",
    "longer than the bound,           b1 1@0:abcde 1@5:fghi 1=9,     Accepted Broken Foreign, abcde",
    "empty answer,                    b1 1=0,                        Complete, ''",
  })
  void framesGiveTheExpectedAnswer(String name, String steps, String outcomes, String answer) {
    AnswerAssembler assembler = AnswerAssembler.create(8);
    List<String> seen = new ArrayList<>();
    for (String step : steps.split(" ", -1)) {
      if (step.startsWith("b")) {
        assembler.begin(Integer.parseInt(step.substring(1)));
      } else if (step.contains("=")) {
        String[] parts = step.split("=", -1);
        seen.add(name(assembler.finish(number(parts[0]), number(parts[1]))));
      } else {
        String[] parts = step.split("[@:]", -1);
        seen.add(name(assembler.accept(number(parts[0]), number(parts[1]), tokens(parts[2]))));
      }
    }
    assertEquals(outcomes, String.join(" ", seen));
    assertEquals(answer, String.join("", assembler.tokens()));
  }

  private static int number(String text) {
    return Integer.parseInt(text);
  }

  private static List<String> tokens(String letters) {
    return List.of(letters.split("", 0));
  }

  private static String name(FrameOutcome outcome) {
    return outcome.getClass().getSimpleName();
  }
}
