package org.shallothold.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an answer with a repeated, missing or unrelated token, and against a truncated
 * answer that counts as complete.
 */
class AnswerAssemblerTest {

  /**
   * Steps: {@code bN} begins attempt N; {@code N@O:xy} is a frame of attempt N at offset O with the
   * tokens x and y; {@code N=C} is the end mark of attempt N with count C.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "whole answer,                    b1 1@0:ab 1@2:c 1=3,           Accepted Accepted Complete, abc",
    "duplicate frame,                 b1 1@0:ab 1@0:ab 1@2:c 1=3,    Accepted Duplicate Accepted Complete, abc",
    "part of a frame repeated,        b1 1@0:abc 1@1:b 1=3,          Accepted Duplicate Complete, abc",
    "gap,                             b1 1@0:a 1@2:c 1@1:b 1=3,      Accepted Broken Stale Stale, a",
    "overlap beyond the end,          b1 1@0:ab 1@1:bc 1=3,          Accepted Broken Stale, ab",
    "negative offset,                 b1 1@-1:a 1=0,                 Broken Stale, ''",
    "fewer tokens than counted,       b1 1@0:a 1=2,                  Accepted Broken, a",
    "more tokens than counted,        b1 1@0:ab 1=1,                 Accepted Broken, ab",
    "end mark of another attempt,     b1 1@0:a 2=1 1=1,              Accepted Stale Complete, a",
    "late frame of a former attempt,  b1 1@0:a b2 1@1:x 2@1:b 2=2,   Accepted Stale Accepted Complete, ab",
    "resume after a gap,              b1 1@0:a 1@3:d b2 2@1:b 2=2,   Accepted Broken Accepted Complete, ab",
    "resume from the start again,     b1 1@0:ab b2 2@0:ab 2@2:c 2=3, Accepted Duplicate Accepted Complete, abc",
    "longer than the maximum,         b1 1@0:abcde 1@5:fghi 1=9,     Accepted Broken Stale, abcde",
    "empty answer,                    b1 1=0,                        Complete, ''",
  })
  void assemblesAnswerFromFrames(String name, String steps, String outcomes, String answer) {
    AnswerAssembler assembler = AnswerAssembler.create(8);
    List<String> actualOutcomes = new ArrayList<>();
    for (String step : steps.split(" ", -1)) {
      if (step.startsWith("b")) {
        assembler.begin(Integer.parseInt(step.substring(1)));
      } else if (step.contains("=")) {
        String[] parts = step.split("=", -1);
        actualOutcomes.add(outcomeName(assembler.finish(parseInt(parts[0]), parseInt(parts[1]))));
      } else {
        String[] parts = step.split("[@:]", -1);
        actualOutcomes.add(
            outcomeName(
                assembler.accept(
                    parseInt(parts[0]), parseInt(parts[1]), singleLetterTokens(parts[2]))));
      }
    }
    assertEquals(outcomes, String.join(" ", actualOutcomes));
    assertEquals(answer, String.join("", assembler.tokens()));
  }

  private static int parseInt(String text) {
    return Integer.parseInt(text);
  }

  private static List<String> singleLetterTokens(String text) {
    return List.of(text.split("", 0));
  }

  private static String outcomeName(FrameOutcome outcome) {
    return outcome.getClass().getSimpleName();
  }
}
