package flintlead.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tracks which start of a host's process is current; an address may reach a replaced process. */
final class ProcessIdentity {

  /** How the process in a greeting relates to the current one. */
  enum Verdict {
    /** The current process, or the first one seen. */
    CURRENT,
    /** A new process: connections to the replaced one are about to break. */
    REPLACES_CURRENT,
    /** A process that was already replaced: two hosts have the same name. */
    OUTDATED
  }

  /** Number of replaced process starts that are remembered. */
  private static final int MAX_REPLACED = 8;

  private final Deque<String> replaced = new ArrayDeque<>();
  private String current;

  /** The current process start; null before the first greeting. */
  String current() {
    return current;
  }

  /** Classifies the process start of a greeting and makes it current, unless it is outdated. */
  Verdict greeted(String processStart) {
    if (processStart.equals(current)) {
      return Verdict.CURRENT;
    }
    if (replaced.contains(processStart)) {
      return Verdict.OUTDATED;
    }
    boolean first = current == null;
    if (!first) {
      replaced.addLast(current);
      if (replaced.size() > MAX_REPLACED) {
        replaced.removeFirst();
      }
    }
    current = processStart;
    return first ? Verdict.CURRENT : Verdict.REPLACES_CURRENT;
  }
}
