package flintlead.configuration.transaction;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Changes of one gateway's configuration, one at a time: each is written down, applied in steps,
 * observed, and confirmed or rolled back.
 *
 * <p>A rollback returns to the confirmed version at once and sends nothing anew: hosts that come
 * back to the list take new attempts, and attempts under way stay where they are. A process that
 * dies before the confirmation begins again with the confirmed version.
 *
 * <p>A state machine without input, output or clock. Not thread-safe: all methods are called on the
 * gateway's loop.
 */
public final class ConfigurationTransaction {

  /**
   * States of a transaction; their names in lower case are part of the control socket's answers.
   */
  public enum Stage {
    /** No transaction is under way. */
    STEADY,
    /** The record is being written; nothing has been applied. */
    WRITING,
    /** Steps are applied one after the other. */
    APPLYING,
    /**
     * All steps are applied, and the outcome is under observation; the confirmation may be being
     * written.
     */
    WATCHING,
    /** The confirmed version is in force again, and the record of that is being written. */
    UNDOING;

    private boolean canFollow(Stage before) {
      return switch (this) {
        case STEADY -> before != STEADY;
        case WRITING -> before == STEADY;
        case APPLYING -> before == WRITING || before == APPLYING;
        case WATCHING -> before == APPLYING;
        case UNDOING -> before == WRITING || before == APPLYING || before == WATCHING;
      };
    }
  }

  /** The gateway, as far as a transaction needs it. Called on the loop. */
  public interface ConfigurationTarget {

    /**
     * Puts the version's hosts and layout in force for all invocations from now on.
     *
     * @return why it could not be done, and then nothing has changed; empty where it is done
     */
    List<String> applyVersion(ConfigurationVersion version);

    /** Schedules a call of {@link ConfigurationTransaction#wake} in place of an earlier one. */
    void scheduleWake(Moment when);

    /** Logs a line for operators. */
    void log(String line);
  }

  /** Health is sampled so often within the time after which an unreachable list is rolled back. */
  private static final double SAMPLE_INTERVAL_SHARE = 0.25;

  private final RollbackThresholds thresholds;
  private final TransactionLog transactionLog;
  private final ConfigurationTarget target;
  private final Supplier<HealthSample> samples;
  private final HealthMonitor monitor;
  private Stage stage = Stage.STEADY;
  private ConfigurationVersion confirmed;

  /** The version that a transaction leads to; null while none is under way. */
  private ConfigurationVersion candidate;

  /** The version in force: the confirmed one, or a step on the way to the candidate. */
  private ConfigurationVersion current;

  private List<ConfigurationVersion> steps = List.of();

  /** Number of steps applied so far. */
  private int step;

  /** When the next step, or the confirmation, is due. */
  private Moment nextAt;

  private boolean confirming;
  private String lastOutcome = "none yet";

  /**
   * Creates the transactions of a gateway; {@link #recoverVersion} chooses the version to begin
   * with.
   *
   * @param confirmed the version in force
   * @param samples returns the gateway's health now
   */
  public ConfigurationTransaction(
      ConfigurationVersion confirmed,
      RollbackThresholds thresholds,
      TransactionLog transactionLog,
      ConfigurationTarget target,
      Supplier<HealthSample> samples) {
    this.confirmed = confirmed;
    this.current = confirmed;
    this.thresholds = thresholds;
    this.transactionLog = transactionLog;
    this.target = target;
    this.samples = samples;
    this.monitor = new HealthMonitor(thresholds, samples.get());
  }

  /**
   * Returns the version with which a process begins. A version confirmed in service has precedence
   * over the file; an unconfirmed one never counts.
   *
   * @param stored the record of the process before; null for none
   * @param file the version of the file that the gateway is started with
   */
  public static ConfigurationVersion recoverVersion(
      TransactionLog.TransactionRecord stored, ConfigurationVersion file) {
    return stored == null ? file : stored.confirmed();
  }

  /** Returns the version in force. */
  public ConfigurationVersion current() {
    return current;
  }

  /** Returns the version that was confirmed last. */
  public ConfigurationVersion confirmed() {
    return confirmed;
  }

  /** Returns the state of the transaction. */
  public Stage stage() {
    return stage;
  }

  /** Returns how the last transaction ended, its candidate first. */
  public String lastOutcome() {
    return lastOutcome;
  }

  /** Returns the number of steps applied so far. */
  public int step() {
    return step;
  }

  /** Returns the number of steps of the transaction; 0 where none is under way. */
  public int steps() {
    return steps.size();
  }

  private void enter(Stage next) {
    if (!next.canFollow(stage)) {
      throw new IllegalStateException(next + " after " + stage);
    }
    stage = next;
  }

  // ---- forward ----

  /**
   * Begins a transaction.
   *
   * @return why it was not begun; empty where it is under way
   */
  public List<String> apply(ConfigurationVersion to, Moment now) {
    if (stage != Stage.STEADY) {
      return List.of(
          "a change to version "
              + (candidate == null ? confirmed : candidate)
              + " is "
              + stage.name().toLowerCase(Locale.ROOT)
              + "; wait for its end, or undo it");
    }
    List<String> faults = VersionValidator.validate(confirmed, to);
    if (!faults.isEmpty()) {
      return faults;
    }
    enter(Stage.WRITING);
    candidate = to;
    steps = StagedSteps.plan(confirmed, to, thresholds);
    step = 0;
    transactionLog.write(
        new TransactionLog.TransactionRecord(confirmed, to),
        written -> recordWritten(written, now));
    return List.of();
  }

  private void recordWritten(boolean written, Moment now) {
    if (stage != Stage.WRITING) {
      return;
    }
    if (!written) {
      finish("not begun: its record could not be written");
      return;
    }
    monitor.changeBegins(samples.get());
    enter(Stage.APPLYING);
    applyStep(now);
  }

  private void applyStep(Moment now) {
    ConfigurationVersion to = steps.get(step);
    List<String> faults = target.applyVersion(to);
    if (!faults.isEmpty()) {
      rollBack(String.join("; ", faults));
      return;
    }
    current = to;
    step++;
    target.log(
        "change to "
            + candidate
            + ": step "
            + step
            + " of "
            + steps.size()
            + " is version "
            + current);
    boolean isLast = step == steps.size();
    enter(isLast ? Stage.WATCHING : Stage.APPLYING);
    nextAt = now.plus(isLast ? thresholds.observationTime() : thresholds.settleTime());
    scheduleSample(now);
  }

  /** Samples the gateway's health and takes the next step where it is due; harmless at any time. */
  public void wake(Moment now) {
    if (stage != Stage.APPLYING && stage != Stage.WATCHING || confirming) {
      return;
    }
    Optional<String> harm = monitor.harm(samples.get(), confirmed, current, now);
    if (harm.isPresent()) {
      rollBack(harm.get());
    } else if (now.isBefore(nextAt)) {
      scheduleSample(now);
    } else if (stage == Stage.APPLYING) {
      applyStep(now);
    } else {
      confirm();
    }
  }

  private void scheduleSample(Moment now) {
    Span interval = thresholds.unreachableTimeout().times(SAMPLE_INTERVAL_SHARE);
    target.scheduleWake(Moment.earlier(now.plus(interval), nextAt));
  }

  private void confirm() {
    confirming = true;
    transactionLog.write(
        new TransactionLog.TransactionRecord(candidate, null), this::confirmationWritten);
  }

  private void confirmationWritten(boolean written) {
    confirming = false;
    if (stage != Stage.WATCHING) {
      return;
    }
    if (!written) {
      rollBack("its confirmation could not be written, and a restart would undo it");
      return;
    }
    ConfigurationVersion before = confirmed;
    confirmed = candidate;
    finish("confirmed: " + before + " is now " + confirmed);
  }

  // ---- back ----

  /**
   * Rolls the transaction back to the confirmed version at once.
   *
   * @return whether there was one to roll back
   */
  public boolean rollBack(String why) {
    if (stage == Stage.STEADY || stage == Stage.UNDOING) {
      return false;
    }
    boolean applied = stage != Stage.WRITING;
    enter(Stage.UNDOING);
    confirming = false;
    if (applied) {
      current = confirmed;
      // The confirmed layout's pools have their numbers still, or had room for them a moment ago:
      // nothing prevents it.
      target.applyVersion(confirmed).forEach(target::log);
    }
    String outcome = "undone: " + why;
    target.log("change to " + candidate + " " + outcome);
    // Where this can't be written the old record has the same effect: a confirmed version, and a
    // candidate that does not count.
    transactionLog.write(
        new TransactionLog.TransactionRecord(confirmed, null), written -> finish(outcome));
    return true;
  }

  private void finish(String outcome) {
    target.log("change to " + candidate + " " + outcome);
    lastOutcome = candidate + " " + outcome;
    enter(Stage.STEADY);
    candidate = null;
    steps = List.of();
    step = 0;
    monitor.changeEnded(samples.get());
  }
}
