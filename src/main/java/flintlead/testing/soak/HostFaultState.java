package flintlead.testing.soak;

import java.util.EnumMap;
import java.util.Map;

/** Until when each fault of one host lasts. Used on the hosts' event loop only. */
final class HostFaultState {

  private final Map<FaultKind, Long> untilNanos = new EnumMap<>(FaultKind.class);

  void begin(FaultKind kind, long untilNanos) {
    this.untilNanos.merge(kind, untilNanos, Math::max);
  }

  boolean has(FaultKind kind) {
    Long until = untilNanos.get(kind);
    return until != null && System.nanoTime() < until;
  }
}
