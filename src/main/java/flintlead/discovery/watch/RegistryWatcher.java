package flintlead.discovery.watch;

import flintlead.time.Moment;
import java.util.List;
import java.util.Map;

/**
 * Follows the keys of a registry without missing a change, applying one twice or going back. Where
 * that cannot be guaranteed it reads everything again, and logs why.
 *
 * <p>Each request is an attempt with a number. Responses of an older attempt are ignored, so a late
 * response of an abandoned connection is never taken for a new one. Changes of one revision are
 * applied together: those of a revision that is incomplete when the connection breaks are dropped
 * and requested again.
 *
 * <p>A state machine without input, output or clock. Not thread-safe: all methods are called on one
 * loop.
 */
public final class RegistryWatcher {

  /** What the current attempt does. */
  private enum Phase {
    /** Nothing is open; the backoff decides when the next attempt begins. */
    WAITING,
    /** Pages of a full read are requested one after the other. */
    READING,
    /** A watch is open, or being opened. */
    WATCHING;

    /**
     * Returns whether this phase can come after the other one: a watch that fails always waits
     * before anything else.
     */
    boolean canFollow(Phase before) {
      return switch (this) {
        case WAITING -> before != WAITING;
        case READING -> before == WAITING;
        case WATCHING -> true;
      };
    }
  }

  private final WatchActions actions;
  private final Backoff backoff;
  private final ListLimits limits;

  private Phase phase = Phase.WAITING;
  private long attempt;

  /** Why the next attempt must be a full read; null where the watch can go on. */
  private String fullReadReason = "the first read";

  private final AppliedState state = new AppliedState();
  private final PagedRead pages = new PagedRead();

  /** Changes of a revision that is not complete yet. */
  private final RevisionBuffer pending = new RevisionBuffer();

  /**
   * Creates a watcher that has not begun; {@link #start} or {@link #resume} sends the first
   * request.
   */
  public RegistryWatcher(WatchActions actions, Backoff backoff, ListLimits limits) {
    this.limits = limits;
    this.actions = actions;
    this.backoff = backoff;
  }

  /** Begins without any previous state: with a full read. */
  public void start(Moment now) {
    startAttempt();
  }

  /**
   * Begins with the state of a snapshot: the watch goes on after its revision, if the registry
   * still has the changes since.
   */
  public void resume(String ofCluster, long revision, Map<String, String> all, Moment now) {
    state.replace(ofCluster, revision, all);
    fullReadReason = null;
    startAttempt();
  }

  /** Returns the last applied revision; 0 before the first. */
  public long appliedRevision() {
    return state.revision();
  }

  /**
   * Returns the id of the cluster that the applied revision is of; null before the first full read.
   */
  public String cluster() {
    return state.cluster();
  }

  /** The backoff's wait is over; harmless at any other time. */
  public void wake(Moment now) {
    if (phase == Phase.WAITING && !now.isBefore(backoff.notBefore())) {
      startAttempt();
    }
  }

  // ---- attempts ----

  private void enter(Phase next) {
    if (!next.canFollow(phase)) {
      throw new IllegalStateException(next + " after " + phase);
    }
    phase = next;
  }

  private void startAttempt() {
    attempt++;
    pending.clear();
    if (fullReadReason != null) {
      pages.begin();
      enter(Phase.READING);
      actions.readPage(attempt, null, 0);
    } else {
      pages.clear();
      enter(Phase.WATCHING);
      actions.openWatch(attempt, state.revision() + 1);
    }
  }

  /** Abandons the attempt; the next one begins after a backoff. */
  private void retryLater(Moment now, boolean fullRead) {
    actions.abandonAttempt(attempt);
    attempt++;
    enter(Phase.WAITING);
    actions.scheduleWake(backoff.recordFailure(now, fullRead));
  }

  private void requireFullRead(String reason, Moment now) {
    fullReadReason = reason;
    actions.log("everything is read again: " + reason);
    retryLater(now, true);
  }

  private boolean isCurrent(long of, Phase expected) {
    return of == attempt && phase == expected;
  }

  private boolean isOpen(long of) {
    return of == attempt && phase != Phase.WAITING;
  }

  // ---- responses to a full read ----

  /**
   * Handles a page of a full read.
   *
   * @param of the attempt that it answers
   * @param revision the registry's revision when it answered; only the first page's counts, as the
   *     others are read at that revision
   * @param more whether further pages follow
   * @param stale whether the response may be older than earlier ones, as it comes from a replica
   *     that may lag
   */
  public void onReadPage(
      long of,
      String ofCluster,
      long revision,
      List<KeyChange> entries,
      boolean more,
      boolean stale,
      Moment now) {
    if (!isCurrent(of, Phase.READING)) {
      return;
    }
    if (stale && state.isAheadOf(ofCluster, revision)) {
      // A replica that lags: going back to its view would undo what was state.
      actions.log(
          "a read was behind revision "
              + state.revision()
              + " ("
              + revision
              + "), another is made");
      retryLater(now, true);
    } else if (!pages.accepts(ofCluster)) {
      requireFullRead("the cluster changed between two pages", now);
    } else if (!pages.hasRoomFor(entries, limits)) {
      requireFullRead("more than " + limits + " under the prefix", now);
    } else {
      pages.add(ofCluster, revision, entries);
      if (more && !entries.isEmpty()) {
        actions.readPage(attempt, pages.lastKey(), pages.revision());
      } else {
        finishFullRead(ofCluster);
      }
    }
  }

  private void finishFullRead(String ofCluster) {
    String reason = fullReadReason;
    if (state.isAheadOf(ofCluster, pages.revision())) {
      reason =
          "the registry went back from revision " + state.revision() + " to " + pages.revision();
      actions.log(reason);
    } else if (state.isOfOtherCluster(ofCluster)) {
      reason = "another cluster: " + ofCluster + " in place of " + state.cluster();
      actions.log(reason);
    }
    state.replace(ofCluster, pages.revision(), pages.keys());
    fullReadReason = null;
    backoff.recordSuccess();
    // First, so that the hosts of the new list are usable as soon as they are listed.
    actions.upToDate();
    actions.replaceAll(state.cluster(), state.revision(), state.keys(), reason);
    startAttempt();
  }

  // ---- responses to a watch ----

  /**
   * The watch has been created.
   *
   * @param revision the registry's revision when it answered
   */
  public void onWatchCreated(long of, String ofCluster, long revision, Moment now) {
    if (isCurrent(of, Phase.WATCHING) && isSameHistory(ofCluster, revision, now)) {
      backoff.recordSuccess();
      reportIfUpToDate(revision);
    }
  }

  private void reportIfUpToDate(long registryRevision) {
    if (pending.isEmpty() && state.revision() >= registryRevision) {
      actions.upToDate();
    }
  }

  /**
   * Returns whether the response goes on with what was applied; otherwise everything will be read
   * again.
   */
  private boolean isSameHistory(String ofCluster, long revision, Moment now) {
    if (!ofCluster.equals(state.cluster())) {
      requireFullRead(
          "another cluster answers: " + ofCluster + " in place of " + state.cluster(), now);
      return false;
    }
    if (revision < state.revision()) {
      requireFullRead(
          "the registry is at revision " + revision + ", before the applied " + state.revision(),
          now);
      return false;
    }
    return true;
  }

  /**
   * Handles changes, in the order of their revisions.
   *
   * @param revision the registry's revision when it sent them
   * @param fragment whether the last revision among them goes on in the next response
   */
  public void onWatchEvents(
      long of,
      String ofCluster,
      long revision,
      List<KeyChange> changes,
      boolean fragment,
      Moment now) {
    if (!isCurrent(of, Phase.WATCHING) || !isSameHistory(ofCluster, revision, now)) {
      return;
    }
    for (KeyChange change : changes) {
      if (change.revision() <= state.revision()) {
        // Sent again after a reconnect, or by a registry that repeats itself.
        continue;
      }
      if (pending.isOutOfOrder(change)) {
        requireFullRead(
            "changes came out of order: " + change.revision() + " after " + pending.lastRevision(),
            now);
        return;
      }
      pending.add(change);
    }
    if (!state.hasRoomFor(pending.changes(), limits)) {
      requireFullRead("with its changes the list may exceed " + limits, now);
    } else if (!fragment) {
      pending.drain().forEach(this::applyRevision);
      reportIfUpToDate(revision);
    }
  }

  private void applyRevision(List<KeyChange> changes) {
    state.apply(changes.get(0).revision(), changes);
    actions.applyChanges(state.revision(), changes);
  }

  /** Nothing has changed up to the revision: a later watch need not go back before it. */
  public void onProgress(long of, String ofCluster, long revision, Moment now) {
    if (isCurrent(of, Phase.WATCHING)
        && isSameHistory(ofCluster, revision, now)
        && pending.isEmpty()) {
      state.apply(revision, List.of());
      actions.applyChanges(revision, List.of());
      actions.upToDate();
    }
  }

  /**
   * Handles a response to a watch that holds everything, of a registry that answers so once
   * something has changed.
   *
   * @param stale whether the response may be older than earlier ones, as it comes from a replica
   *     that may lag
   */
  public void onFullResponse(
      long of,
      String ofCluster,
      long revision,
      List<KeyChange> entries,
      boolean stale,
      Moment now) {
    if (!isCurrent(of, Phase.WATCHING)) {
      return;
    }
    if (stale && revision < state.revision()) {
      actions.log(
          "an answer was behind revision "
              + state.revision()
              + " ("
              + revision
              + "), another is asked for");
      retryLater(now, false);
      return;
    }
    if (!isSameHistory(ofCluster, revision, now)) {
      return;
    }
    backoff.recordSuccess();
    if (revision > state.revision()) {
      List<KeyChange> changes = state.advance(revision, entries);
      actions.applyChanges(revision, changes);
    }
    if (!stale) {
      actions.upToDate();
    }
    startAttempt();
  }

  // ---- failures ----

  /**
   * The requested revision has been compacted away.
   *
   * @param least the oldest revision that the registry still has
   */
  public void onCompacted(long of, long least, Moment now) {
    if (isOpen(of)) {
      requireFullRead(
          "revision "
              + (phase == Phase.WATCHING ? state.revision() + 1 : pages.revision())
              + " has been compacted, kept is from "
              + least,
          now);
    }
  }

  /** The registry cancelled the watch. */
  public void onWatchCancelled(long of, String why, Moment now) {
    if (isOpen(of)) {
      actions.log("the registry ended the watch: " + why);
      retryLater(now, fullReadReason != null);
    }
  }

  /** The connection broke or was refused, or the response could not be parsed. */
  public void onConnectionLost(long of, String why, Moment now) {
    if (isOpen(of)) {
      retryLater(now, fullReadReason != null);
    }
  }

  /**
   * Returns all state on which further behaviour depends, as text; for tests that explore the state
   * space.
   */
  public String stateFingerprint() {
    return phase + "|" + state + "|" + (fullReadReason == null) + "|" + pages + "|" + pending;
  }
}
