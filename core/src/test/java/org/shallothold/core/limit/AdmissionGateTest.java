package org.shallothold.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that is refused while a lower tier holds the permits, and against a
 * class that starves.
 */
class AdmissionGateTest {

  /**
   * A gate of three permits. Steps: {@code N:cTP} request N of class c in tier T arrives and needs
   * P permits, one if P is left out, with {@code !} after it if it can't be displaced; {@code N+}
   * its answer starts; {@code N-} it ends. Outcomes: {@code a} admitted, the numbers of the
   * displaced requests, {@code r} refused.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "free permits,                       1:a3 2:a3 3:a3,                     a a a",
    "full of the same tier,              1:a1 2:a1 3:a1 4:a1,                a a a r",
    "latest of the lowest tier goes,     1:h0 2:a3 3:a3 4:h0,                a a a 3",
    "lowest tier first,                  1:a3 2:a3 3:b2 4:h0 5:h0,           a a a a 2",
    "higher tier is never displaced,     1:h0 2:h0 3:h0 4:a3 5:a3,           a a a a r",
    "answered request stays,             1:h0 2:a3 3:a3 2+ 3+ 4:h0,          a a a r",
    "order can't be displaced,           1:h0 2:a3 3:a3! 4:h0,               a a a r",
    "oldest of a class stays,            1:h0 2:a3 3:b3 4:h0,                a a a r",
    "class without a request gets one,   1:h0 2:h0 3:h0 4:a3 5:b3 6:a3,      a a a a a r",
    "permit beyond capacity is reusable, 1:h0 2:h0 3:h0 4:a3 4- 5:a3,        a a a a a",
    "released permit,                    1:a1 2:a1 3:a1 2- 4:a1,             a a a a",
    "displaced one holds no permit,      1:h0 2:a3 3:a3 4:h0 3- 5:h0,        a a a 3 r",
    "large one displaces several,        1:a3 2:a3 3:a3 4:h0 5:h02,          a a a a 3+2",
    "several of two tiers,               1:a31 2:a31 3:b2 4:b2 5:h0 6:h02,   a a a 2 a r",
    "large request needs its permits,    1:a12 2:b1 3:a1,                    a a r",
    "large one releases all its permits, 1:h0 2:h02 2- 3:h02,                a a a",
  })
  void decidesNewRequests(String name, String steps, String outcomes) {
    AdmissionGate gate = AdmissionGate.ofCapacity(3);
    List<String> actual = new ArrayList<>();
    for (String step : steps.split(" ", -1)) {
      long number = Character.digit(step.charAt(0), 10);
      switch (step.charAt(1)) {
        case '+' -> gate.answerStarted(number);
        case '-' -> gate.release(number);
        default ->
            actual.add(
                switch (gate.admit(
                    number,
                    step.substring(2, 3),
                    step.charAt(3) - '0',
                    step.matches(".:..\\d!?") ? step.charAt(4) - '0' : 1,
                    !step.endsWith("!"))) {
                  case Admission.Admitted admitted -> "a";
                  case Admission.Displacing(List<Long> displaced) ->
                      displaced.stream().map(String::valueOf).collect(Collectors.joining("+"));
                  case Admission.Refused refused -> "r";
                });
      }
    }
    assertEquals(outcomes, String.join(" ", actual));
  }
}
