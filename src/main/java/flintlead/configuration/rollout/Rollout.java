package flintlead.configuration.rollout;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One change over many gateways. No gateway is told before all have validated it. Then one gateway
 * changes, then waves of them; each wave begins when every gateway of the one before has confirmed
 * the change by itself, and the changed ones have not done worse than the others meanwhile.
 * Whatever goes wrong, all that may have been told go back to what each of them had.
 *
 * <p>Every call to a gateway names the version that it is expected to have, and is refused by a
 * gateway that has another: a lost response, a second process that goes on with a record, and
 * another operator's change can thus do no more than be refused. A call that was sent and not
 * answered may still arrive: a gateway that goes back is fenced first, and from then on refuses
 * further calls of this rollout.
 *
 * <p>A state machine without input, output or clock. Not thread-safe.
 */
public final class Rollout {

  private final String id;
  private final RolloutTiming timing;
  private final GatewayClients clients;
  private final List<GatewayRollout> gateways;
  private final WaveSequence waves;
  private RolloutStage stage = RolloutStage.CHECKING;

  private Moment settledAt;

  /** When all that can be reached had changed; null before. */
  private Moment completeSince;

  private String reason = "";

  /**
   * Creates a rollout that has not begun.
   *
   * @param id its own, by which gateways know its calls
   * @param names of the gateways, in the order in which they change
   */
  public Rollout(String id, List<String> names, RolloutTiming timing, GatewayClients clients) {
    this(id, timing, clients, names.stream().map(GatewayRollout::new).toList());
  }

  private Rollout(
      String id, RolloutTiming timing, GatewayClients clients, List<GatewayRollout> gateways) {
    this.id = id;
    this.timing = timing;
    this.clients = clients;
    this.gateways = new ArrayList<>(gateways);
    this.waves = new WaveSequence(timing.waveSizes(gateways.size()));
  }

  /**
   * Returns a rollout that goes on with what another process began.
   *
   * @param undo whether to take it back; one that was being taken back is in any case
   */
  public static Rollout resume(
      RolloutRecord record, boolean undo, RolloutTiming timing, GatewayClients clients) {
    List<GatewayRollout> restored =
        record.gateways().stream().map(GatewayRollout::restore).toList();
    Rollout rollout = new Rollout(record.id(), timing, clients, restored);
    rollout.waves.skipTo(restored.stream().filter(GatewayRollout::isNotified).count());
    rollout.enter(RolloutStage.APPLYING);
    if (undo || record.revertReason() != null) {
      rollout.revert(
          record.revertReason() != null ? record.revertReason() : "by the operator's word");
    }
    return rollout;
  }

  /** Returns the state of the rollout. */
  public RolloutStage stage() {
    return stage;
  }

  /** Returns whether the rollout is at its end. */
  public boolean isFinished() {
    return stage.isFinal();
  }

  /** Returns what ended it, or why it goes back, in words; empty before. */
  public String reason() {
    return reason;
  }

  /**
   * Returns the text that restores what the gateway had before; null until the gateway has reported
   * it.
   */
  public String previousConfiguration(int gateway) {
    return gateways.get(gateway).previousConfiguration();
  }

  /** Returns the state of each gateway, a line each. */
  public List<String> statusLines() {
    boolean reverting = stage == RolloutStage.REVERTING || stage == RolloutStage.REVERTED;
    return gateways.stream().map(gateway -> gateway.describe(reverting)).toList();
  }

  private void enter(RolloutStage next) {
    if (!next.canFollow(stage)) {
      throw new IllegalStateException(next + " after " + stage);
    }
    stage = next;
  }

  // ---- what gateways answer ----

  /**
   * The gateway has validated the change.
   *
   * @param faults of the change at that gateway; empty where it may be applied
   * @param from the version that the gateway has
   * @param to the version that it would have
   * @param before the text that restores what it has
   */
  public void onPlanned(
      int gateway, List<String> faults, String from, String to, String before, Moment now) {
    GatewayRollout one = gateways.get(gateway);
    one.answered();
    if (stage != RolloutStage.CHECKING) {
      return;
    }
    if (!faults.isEmpty()) {
      end(RolloutStage.REVERTED, one.name() + ": " + String.join("; ", faults));
      return;
    }
    one.recordPlan(from, to, before);
  }

  /**
   * The gateway has reported its status.
   *
   * @param fenced whether it was fenced before, and refuses further calls that go forward
   */
  public void onStatus(int gateway, GatewayStatus status, boolean fenced, Moment now) {
    GatewayRollout one = gateways.get(gateway);
    one.answered();
    one.recordStatus(status);
    if (isFinished() || !one.isPlanned()) {
      return;
    }
    if (stage == RolloutStage.REVERTING) {
      one.recordRevertStatus(fenced);
    } else if (one.isNotified() && status.steady()) {
      judge(one);
    }
  }

  /** Judges a gateway that has been told of the change, and has no transaction under way. */
  private void judge(GatewayRollout one) {
    GatewayStatus status = one.status();
    if (status.confirmedVersion().equals(one.targetVersion())) {
      one.confirm();
    } else if (!status.confirmedVersion().equals(one.previousVersion())) {
      revert(
          one.name() + " has version " + status.confirmedVersion() + ": somebody else changes it");
    } else if (one.isConfirmed()) {
      revert(one.name() + " has gone back to " + one.previousVersion() + " by itself");
    } else if (one.hasBegunTransaction()
        && status.lastOutcome().startsWith(one.targetVersion() + " ")) {
      revert(one.name() + ": " + status.lastOutcome());
    } else if (!one.hasAttemptsLeft()) {
      revert(one.name() + " has not changed though told " + one.applyAttempts() + " times");
    }
  }

  /**
   * A call was refused, or not answered.
   *
   * @param refused whether the gateway refused it itself; otherwise it did not answer
   * @param reason, in words
   */
  public void onFailure(int gateway, boolean refused, String reason, Moment now) {
    GatewayRollout one = gateways.get(gateway);
    if (!refused) {
      one.didNotAnswer(now);
      return;
    }
    one.answered();
    if (stage == RolloutStage.CHECKING) {
      end(RolloutStage.REVERTED, one.name() + ": " + reason);
    } else if (!isFinished()) {
      // It has another version, or is busy: its status will show which.
      clients.log(one.name() + " refused: " + reason);
    }
  }

  // ---- forward ----

  /** Does what is due; to be called about every poll interval. */
  public void wake(Moment now) {
    if (isFinished()) {
      return;
    }
    gateways.forEach(gateway -> gateway.checkReachable(now, timing.unreachableTimeout()));
    switch (stage) {
      case CHECKING -> check(now);
      case APPLYING -> apply(now);
      case SETTLING -> settle(now);
      case REVERTING -> goBack(now);
      default -> throw new IllegalStateException(stage.toString());
    }
  }

  private void check(Moment now) {
    for (int i = 0; i < gateways.size(); i++) {
      GatewayRollout one = gateways.get(i);
      if (one.isUnreachable()) {
        // Nothing is begun unless all can be told.
        end(RolloutStage.REVERTED, one.name() + " can't be reached, and nothing was begun");
        return;
      }
      if (!one.isReady() && one.takePoll(now, timing.pollInterval())) {
        clients.plan(i);
        clients.queryStatus(i, false);
      }
    }
    if (all(GatewayRollout::isReady)) {
      beginWave();
    }
  }

  private void beginWave() {
    gateways.subList(0, waves.size()).forEach(GatewayRollout::markNotified);
    if (!saveRecord(null)) {
      gateways.subList(waves.previousSize(), waves.size()).forEach(GatewayRollout::unmarkNotified);
      revert("its record can't be written");
      return;
    }
    enter(RolloutStage.APPLYING);
    gateways.forEach(GatewayRollout::beginWave);
    clients.log(waves + ": " + waves.size() + " of " + gateways.size() + " gateways");
  }

  private void apply(Moment now) {
    for (int i = 0; i < gateways.size(); i++) {
      GatewayRollout one = gateways.get(i);
      if (!one.takePoll(now, timing.pollInterval())) {
        continue;
      }
      if (one.needsApply()) {
        one.countApplyAttempt();
        clients.apply(i, one.previousVersion(), false);
      }
      clients.queryStatus(i, false);
    }
    if (revertIfTooManyLost()) {
      return;
    }
    if (all(one -> !one.isNotified() || one.isConfirmed() || one.isUnreachable())) {
      enter(RolloutStage.SETTLING);
      settledAt = now.plus(timing.settleTime());
    }
  }

  private boolean revertIfTooManyLost() {
    List<String> lost = names(GatewayRollout::isUnreachable);
    if (lost.size() > timing.maxUnreachableShare() * gateways.size()) {
      revert("too many can't be reached: " + lost);
      return true;
    }
    return false;
  }

  private boolean all(Predicate<GatewayRollout> condition) {
    return gateways.stream().allMatch(condition);
  }

  private List<String> names(Predicate<GatewayRollout> which) {
    return gateways.stream().filter(which).map(GatewayRollout::name).toList();
  }

  private void settle(Moment now) {
    for (int i = 0; i < gateways.size(); i++) {
      if (gateways.get(i).takePoll(now, timing.pollInterval())) {
        clients.queryStatus(i, false);
      }
    }
    if (revertIfTooManyLost()) {
      return;
    }
    Optional<String> harm = new FailureComparison(gateways).harm(timing);
    if (harm.isPresent()) {
      revert(harm.get());
    } else if (!now.isBefore(settledAt)) {
      finishWave(now);
    }
  }

  private void finishWave(Moment now) {
    if (waves.hasNext()) {
      waves.next();
      beginWave();
      return;
    }
    List<String> unconfirmed = names(one -> !one.isConfirmed());
    if (unconfirmed.isEmpty()) {
      end(RolloutStage.DONE, "all " + gateways.size() + " gateways have changed");
    } else if (completeSince != null
        && now.since(completeSince).isLongerThan(timing.unreachableTimeout())) {
      end(
          RolloutStage.STUCK,
          "changed but for "
              + unconfirmed
              + ", which can't be reached; go on with the record when they can");
    } else {
      completeSince = completeSince == null ? now : completeSince;
      enter(RolloutStage.APPLYING);
    }
  }

  // ---- back ----

  /** Takes the rollout back: all gateways that may have been told go back. */
  public void revert(String reason) {
    if (isFinished() || stage == RolloutStage.REVERTING) {
      return;
    }
    this.reason = reason;
    if (stage == RolloutStage.CHECKING) {
      end(RolloutStage.REVERTED, reason);
      return;
    }
    enter(RolloutStage.REVERTING);
    clients.log("all go back: " + reason);
    // Where it can't be stored the older record is enough: who goes on with it asks each gateway
    // for its status.
    saveRecord(reason);
    gateways.forEach(GatewayRollout::beginRevert);
  }

  private boolean saveRecord(String reverting) {
    return clients.saveRecord(
        new RolloutRecord(id, gateways.stream().map(GatewayRollout::toRecord).toList(), reverting));
  }

  private void goBack(Moment now) {
    for (int i = 0; i < gateways.size(); i++) {
      GatewayRollout one = gateways.get(i);
      if (one.isReverted() || !one.takePoll(now, timing.pollInterval())) {
        continue;
      }
      switch (one.nextRevertAction()) {
        case ROLL_BACK -> clients.rollBack(i);
        case RESTORE -> clients.apply(i, one.targetVersion(), true);
        default -> {}
      }
      clients.queryStatus(i, true);
    }
    endIfNothingMoreCanGoBack();
  }

  private void endIfNothingMoreCanGoBack() {
    List<String> changedByOthers =
        gateways.stream()
            .filter(GatewayRollout::isChangedByOthers)
            .map(one -> one.name() + " has version " + one.status().confirmedVersion())
            .toList();
    if (all(GatewayRollout::isReverted)) {
      end(RolloutStage.REVERTED, reason);
    } else if (!changedByOthers.isEmpty()
        && all(one -> one.isReverted() || one.isChangedByOthers())) {
      end(
          RolloutStage.STUCK,
          String.join(", ", changedByOthers) + ", neither what it had nor the new one; " + reason);
    } else if (all(one -> one.isReverted() || one.isUnreachable() || one.isChangedByOthers())) {
      end(
          RolloutStage.STUCK,
          names(one -> !one.isReverted()) + " can't be reached to go back; " + reason);
    }
  }

  private void end(RolloutStage how, String reason) {
    enter(how);
    this.reason = reason;
    clients.log(how.name().toLowerCase(Locale.ROOT) + ": " + reason);
  }
}
