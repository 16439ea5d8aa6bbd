package flintlead.scheduling.api;

/**
 * How an attempt, a load report or a load order ended, and whether that proves that nothing ran.
 */
public enum Outcome {
  /** Served. */
  OK(true),
  /** The host answered with an error. */
  ERROR(true),
  /** The host refused for lack of capacity. */
  FULL(false),
  /** No answer in time. */
  TIMEOUT(true),
  /** No connection could be opened. */
  CONNECT_FAILED(false),
  /** The connection broke, and the host was not heard of since. */
  RESET(true),
  /** Cancelled after it was sent. */
  CANCELLED(true),
  /** Withdrawn before it was sent. */
  WITHDRAWN(false),
  /** The host does not hold the function. */
  MISS(false),
  /** The connection broke, but the host lives: it may have run, and the host may be tried again. */
  CONNECTION_LOST(true),
  /** Never sent: nothing has proven in time that the host takes new work. */
  UNPROVEN(false);

  private final boolean mayHaveRun;

  Outcome(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Whether nothing proves that it did not run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether the host answered. */
  public boolean isAnswer() {
    return this == OK || this == ERROR || this == FULL || this == MISS;
  }
}
