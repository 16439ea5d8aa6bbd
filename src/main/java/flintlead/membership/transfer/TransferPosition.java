package flintlead.membership.transfer;

import flintlead.time.Span;
import java.util.Collections;
import java.util.List;

/**
 * A position in the order of the observations of a transfer: behind the observation of that
 * function and host.
 *
 * @param function the function's number
 * @param host the host's number
 */
record TransferPosition(long function, long host) {

  /** Before all observations. */
  static final TransferPosition START = new TransferPosition(0, 0);

  static TransferPosition behind(InstanceObservation observation) {
    return new TransferPosition(observation.function(), observation.host());
  }

  boolean isStart() {
    return function == 0 && host == 0;
  }

  boolean isBefore(InstanceObservation observation) {
    return isStart() || observation.compareTo(asObservation()) > 0;
  }

  /** Index of the first of the sorted observations that lies behind this position. */
  int firstIndexIn(List<InstanceObservation> sorted) {
    if (isStart()) {
      return 0;
    }
    int index = Collections.binarySearch(sorted, asObservation());
    return index >= 0 ? index + 1 : -index - 1;
  }

  private InstanceObservation asObservation() {
    return new InstanceObservation(function, host, 1, Span.ZERO);
  }
}
