package flintlead.scheduling.api;

/** How an attempt, a probe or a load order ended, and whether the function may have run. */
public enum Outcome {
  /** The host served the request. */
  OK(true),
  /** The host answered with an error. */
  ERROR(true),
  /** The host refused for lack of capacity. */
  FULL(false),
  /** No answer arrived in time. */
  TIMEOUT(true),
  /** No connection could be opened. */
  CONNECT_FAILED(false),
  /** The connection broke, and nothing has been received from the host since. */
  RESET(true),
  /** Cancelled after it was sent. */
  CANCELLED(true),
  /** Withdrawn before it was sent. */
  WITHDRAWN(false),
  /** The host does not have the function loaded. */
  MISS(false),
  /**
   * The connection broke, but the host is alive. The function may have run, and the host may be
   * tried again.
   */
  CONNECTION_LOST(true),
  /** Never sent, as there was no proof in time that the host accepts new work. */
  UNPROVEN(false);

  private final boolean mayHaveRun;

  Outcome(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns false only if the outcome proves that the function did not run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the host answered. */
  public boolean isAnswer() {
    return this == OK || this == ERROR || this == FULL || this == MISS;
  }
}
