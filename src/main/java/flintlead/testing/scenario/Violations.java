package flintlead.testing.scenario;

import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/** Collects the violations that an audit finds, up to a number that can be read. */
final class Violations {

  /** What this machine may take to carry a message over a socket and to wake a thread for it. */
  static final Span DELIVERY_TOLERANCE = Span.ofMillis(150);

  private static final int MAX_REPORTED = 50;

  private final List<Auditor.Violation> found = new ArrayList<>();

  void add(int rule, String what) {
    found.add(new Auditor.Violation(rule, what));
  }

  /** The first violations. */
  List<Auditor.Violation> list() {
    return found.size() > MAX_REPORTED ? found.subList(0, MAX_REPORTED) : found;
  }
}
