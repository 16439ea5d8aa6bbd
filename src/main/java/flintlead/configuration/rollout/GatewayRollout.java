package flintlead.configuration.rollout;

import flintlead.time.Moment;
import flintlead.time.Span;

/** The state of one gateway in a rollout. */
final class GatewayRollout {

  /** A gateway that dies at every attempt would otherwise be told for ever. */
  private static final int MAX_APPLY_ATTEMPTS = 5;

  private final String name;
  private String previousVersion;
  private String targetVersion;

  /** The text that restores what the gateway had before. */
  private String previousConfiguration;

  /** Whether it has validated the change, and reported what it has. */
  private boolean planned;

  /** Whether it may have been told of the change. */
  private boolean notified;

  /** Whether it has confirmed the change by itself. */
  private boolean confirmed;

  /** Whether it has again what it had before. */
  private boolean reverted;

  /** Whether its last status was given after it had been fenced. */
  private boolean fenced;

  /** Whether another operator has changed it: that is not this rollout's to take back. */
  private boolean changedByOthers;

  private boolean unreachable;

  /** Since when it has not answered; null while it does. */
  private Moment silentSince;

  private Moment polledAt;
  private int applyAttempts;

  /** Its status when the wave that is being judged began; null before the first. */
  private GatewayStatus baseline;

  /** Its last status; null before the first. */
  private GatewayStatus status;

  GatewayRollout(String name) {
    this.name = name;
  }

  static GatewayRollout restore(RolloutRecord.GatewayRecord stored) {
    GatewayRollout gateway = new GatewayRollout(stored.name());
    gateway.recordPlan(
        stored.previousVersion(), stored.targetVersion(), stored.previousConfiguration());
    gateway.notified = stored.notified();
    return gateway;
  }

  RolloutRecord.GatewayRecord toRecord() {
    return new RolloutRecord.GatewayRecord(
        name, previousVersion, targetVersion, previousConfiguration, notified);
  }

  String name() {
    return name;
  }

  String previousVersion() {
    return previousVersion;
  }

  String targetVersion() {
    return targetVersion;
  }

  String previousConfiguration() {
    return previousConfiguration;
  }

  boolean isNotified() {
    return notified;
  }

  boolean isConfirmed() {
    return confirmed;
  }

  boolean isReverted() {
    return reverted;
  }

  boolean isChangedByOthers() {
    return changedByOthers;
  }

  boolean isUnreachable() {
    return unreachable;
  }

  boolean isPlanned() {
    return planned;
  }

  /** Whether it has validated the change and reported its status. */
  boolean isReady() {
    return planned && status != null;
  }

  GatewayStatus baseline() {
    return baseline;
  }

  GatewayStatus status() {
    return status;
  }

  // ---- reachability and polling ----

  void answered() {
    silentSince = null;
    unreachable = false;
  }

  void didNotAnswer(Moment now) {
    if (silentSince == null) {
      silentSince = now;
    }
  }

  void checkReachable(Moment now, Span timeout) {
    unreachable = silentSince != null && !now.since(silentSince).isShorterThan(timeout);
  }

  /** Returns whether a poll is due, and takes it as made where it is. */
  boolean takePoll(Moment now, Span interval) {
    boolean due = polledAt == null || !now.since(polledAt).isShorterThan(interval);
    polledAt = due ? now : polledAt;
    return due;
  }

  // ---- forward ----

  void recordPlan(String from, String to, String before) {
    previousVersion = from;
    targetVersion = to;
    previousConfiguration = before;
    planned = true;
  }

  void recordStatus(GatewayStatus newStatus) {
    boolean restarted = baseline != null && newStatus.total() < baseline.total();
    if (baseline == null || restarted) {
      baseline = newStatus;
    }
    status = newStatus;
  }

  /** Its wave is about to begin: from now on it may have been told. */
  void markNotified() {
    notified = true;
  }

  /** Its wave could not begin. */
  void unmarkNotified() {
    notified = false;
  }

  /** A wave begins, of this gateway or of others: it is judged by what is counted from now on. */
  void beginWave() {
    baseline = status;
    polledAt = null;
  }

  void confirm() {
    confirmed = true;
  }

  /**
   * Whether it has begun a transaction since the wave began; a process that has restarted has not.
   */
  boolean hasBegunTransaction() {
    return status.transactionsStarted() > baseline.transactionsStarted();
  }

  boolean hasAttemptsLeft() {
    return applyAttempts < MAX_APPLY_ATTEMPTS;
  }

  int applyAttempts() {
    return applyAttempts;
  }

  /** Whether it is to be told of the change, for the first time or again. */
  boolean needsApply() {
    return notified
        && !confirmed
        && status != null
        && status.steady()
        && status.confirmedVersion().equals(previousVersion)
        && !hasBegunTransaction()
        && hasAttemptsLeft();
  }

  void countApplyAttempt() {
    applyAttempts++;
  }

  // ---- back ----

  void beginRevert() {
    reverted = !notified;
    polledAt = null;
    silentSince = null;
  }

  void recordRevertStatus(boolean wasFenced) {
    reverted =
        !notified
            || wasFenced && status.steady() && status.confirmedVersion().equals(previousVersion);
    fenced = wasFenced;
  }

  /** What a gateway that is to go back needs next. */
  enum RevertAction {
    /** Roll back the transaction that is under way. */
    ROLL_BACK,
    /** Apply the previous configuration. */
    RESTORE,
    /** Wait: nothing was reported since it was fenced, or nothing can be done. */
    NONE
  }

  /** Returns what it needs next, and notes whether somebody else has changed it. */
  RevertAction nextRevertAction() {
    // A status given before the fence does not show what the gateway will still accept.
    GatewayStatus reliable = fenced ? status : null;
    boolean idle = reliable != null && reliable.steady();
    changedByOthers =
        idle
            && !reliable.confirmedVersion().equals(previousVersion)
            && !reliable.confirmedVersion().equals(targetVersion);
    if (reliable != null && !idle && reliable.confirmedVersion().equals(previousVersion)) {
      return RevertAction.ROLL_BACK;
    }
    return idle && reliable.confirmedVersion().equals(targetVersion)
        ? RevertAction.RESTORE
        : RevertAction.NONE;
  }

  // ---- for operators ----

  String describe(boolean reverting) {
    if (unreachable) {
      return name + ": not reached";
    }
    if (reverting) {
      return name + ": " + (reverted ? "as it was, " + previousVersion : "going back");
    }
    return name
        + ": "
        + (confirmed ? "changed, " + targetVersion : notified ? "changing" : "as it was");
  }
}
