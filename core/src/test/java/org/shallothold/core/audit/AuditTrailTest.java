package org.shallothold.core.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a trail that grows without bound. */
class AuditTrailTest {

  @Test
  void oldestEventIsRemovedFirst() {
    AuditTrail trail = AuditTrail.ofCapacity(2);
    for (int number = 0; number < 5; number++) {
      trail.add(AuditEvent.of(number, "event", Map.of()));
    }
    assertEquals(List.of(3L, 4L), trail.events().stream().map(AuditEvent::timeMillis).toList());
  }
}
