package flintlead.testing.emulator;

import flintlead.time.Moment;

/** What is wrong with an emulated host; changed by script while it runs, on the host's loop. */
public final class HostFaults {

  /** Accepts invocations and answers none. */
  public boolean neverAnswers;

  /** Accepts connections and reads nothing. */
  public boolean readsNothing;

  /** The share of invocations that fail at once. */
  public double failureRate;

  /** How many times slower than usual it works. */
  public double slowdown = 1;

  /** Stands still until then. */
  public Moment pausedUntil = new Moment(0);

  /** Rejects all invocations as full. */
  public boolean reportsFull;

  /** The share of responses that break off in the middle with their connection. */
  public double resetRate;

  /** The share of responses of which half arrives, and nothing more on that connection. */
  public double truncationRate;

  /** The share of responses with a wrong id. */
  public double wrongIdRate;

  /** Its load reports are stale. */
  public boolean staleReports;

  /** A host without faults. */
  public HostFaults() {}
}
