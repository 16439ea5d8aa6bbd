package flintlead.testing.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, hosts and the driver of one soak have recorded. May be used by any thread. */
final class SoakRecords {

  /**
   * A host left the list.
   *
   * @param toldNanos when the journal was given the event
   * @param untilNanos when the host took part again
   */
  record Drain(int host, long toldNanos, long untilNanos) {}

  /** A host got a probe in that second of the rig's clock. */
  record Probe(int host, long second) {}

  /** The journal could not be heard from the first time to the second. */
  record JournalOutage(long startNanos, long endNanos) {}

  final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
  final Queue<HostAttemptRecord> attempts = new ConcurrentLinkedQueue<>();
  final Queue<GatewayEvent> gatewayEvents = new ConcurrentLinkedQueue<>();
  final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
  final Queue<Probe> probes = new ConcurrentLinkedQueue<>();
  final Queue<JournalOutage> journalOutages = new ConcurrentLinkedQueue<>();

  /** Attempts that a host answered with a proof that they did not run, by id and host. */
  final Queue<String> provenNotRun = new ConcurrentLinkedQueue<>();

  static String attemptKey(String id, int host, long atNanos) {
    return id + "@" + host + "@" + atNanos;
  }
}
