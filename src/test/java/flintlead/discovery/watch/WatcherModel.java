package flintlead.discovery.watch;

import flintlead.time.Moment;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** One watcher, one small registry and the network between them. */
final class WatcherModel implements WatchActions {

  /** A step that the registry, the network or the clock can make next. */
  enum Step {
    PUT_A,
    PUT_B,
    DELETE_A,
    BOTH,
    COMPACT,
    SERVE,
    DELIVER,
    DELIVER_TWICE,
    BREAK,
    CANCEL,
    OTHER_CLUSTER,
    GO_BACK,
    WAKE,
    PROGRESS,
    STALE
  }

  private static final int MAX_COMMITS = 4;
  private static final int MAX_LATE = 2;
  private static final int MAX_SETTLING_STEPS = 200;

  /** A response on its way, as a call of the watcher. */
  private record Response(String text, Runnable deliver) {}

  final RegistryWatcher watcher =
      new RegistryWatcher(this, new Backoff(new Random(1)), ListLimits.DEFAULTS);
  Moment now = new Moment(1_000_000);
  private final RegistryModel registry = new RegistryModel();
  int commits;
  int faults;
  boolean rolledBack;

  Runnable request;
  String requested = "";
  final Deque<Response> inTransit = new ArrayDeque<>();
  final Deque<Response> late = new ArrayDeque<>();
  long watchAttempt = -1;
  long sentRevision;
  boolean waiting;
  Moment wake;

  TreeMap<String, String> view = new TreeMap<>();
  String viewCluster;
  long viewRevision = -1;
  String violation;

  WatcherModel() {
    watcher.start(now);
  }

  // ---- the watcher's side ----

  @Override
  public void readPage(long attempt, String after, long at) {
    waiting = false;
    requested = "read " + after + " " + at;
    request =
        () -> {
          long of = at == 0 ? registry.revision() : at;
          if (of < registry.compacted() || registry.at(of) == null) {
            send("compacted", () -> watcher.onCompacted(attempt, registry.compacted(), now));
            return;
          }
          List<KeyChange> page = new ArrayList<>();
          boolean more = false;
          for (Map.Entry<String, String> each : registry.at(of).entrySet()) {
            if (after == null || each.getKey().compareTo(after) > 0) {
              more = !page.isEmpty();
              if (more) {
                break;
              }
              page.add(new KeyChange(each.getKey(), each.getValue(), of));
            }
          }
          String from = registry.cluster();
          long current = registry.revision();
          boolean goesOn = more;
          send(
              "page " + from + current + page + more,
              () -> watcher.onReadPage(attempt, from, current, page, goesOn, false, now));
        };
  }

  @Override
  public void openWatch(long attempt, long from) {
    waiting = false;
    requested = "watch " + from;
    request =
        () -> {
          if (from < registry.compacted()) {
            send("compacted", () -> watcher.onCompacted(attempt, registry.compacted(), now));
            return;
          }
          watchAttempt = attempt;
          sentRevision = from - 1;
          String of = registry.cluster();
          long current = registry.revision();
          send("created " + of + current, () -> watcher.onWatchCreated(attempt, of, current, now));
          push();
        };
  }

  private void push() {
    for (RegistryModel.Commit each : registry.log()) {
      if (watchAttempt >= 0 && each.revision() > sentRevision) {
        sentRevision = each.revision();
        // Each change in a fragment of its own: a break may come between any two.
        for (int i = 0; i < each.changes().size(); i++) {
          List<KeyChange> one = List.of(each.changes().get(i));
          boolean fragment = i + 1 < each.changes().size();
          long attempt = watchAttempt;
          String of = registry.cluster();
          long current = each.revision();
          send(
              "events " + of + one + fragment,
              () -> watcher.onWatchEvents(attempt, of, current, one, fragment, now));
        }
      }
    }
  }

  private void send(String text, Runnable deliver) {
    inTransit.add(new Response(text, deliver));
  }

  @Override
  public void abandonAttempt(long attempt) {
    lose();
  }

  /** Responses that were in transit may still be delivered, late. */
  private void lose() {
    for (Response response : inTransit) {
      if (late.size() < MAX_LATE) {
        late.add(response);
      }
    }
    inTransit.clear();
    request = null;
    requested = "";
    watchAttempt = -1;
  }

  @Override
  public void scheduleWake(Moment when) {
    waiting = true;
    wake = when;
  }

  @Override
  public void applyChanges(long at, List<KeyChange> changes) {
    if (at < viewRevision || !changes.isEmpty() && at == viewRevision) {
      violation = "applied " + at + " after " + viewRevision;
    }
    for (KeyChange change : changes) {
      if (change.value() == null) {
        view.remove(change.key());
      } else {
        view.put(change.key(), change.value());
      }
    }
    viewRevision = at;
    checkView("after " + changes);
  }

  @Override
  public void replaceAll(String of, long at, Map<String, String> all, String why) {
    if (why == null || why.isEmpty()) {
      violation = "a full read without a reason";
    }
    view = new TreeMap<>(all);
    viewCluster = of;
    viewRevision = at;
    rolledBack &= !of.equals(registry.cluster());
    checkView("full read");
  }

  /**
   * What is applied must be what the registry held at that revision: nothing missed, nothing twice.
   */
  private void checkView(String what) {
    if (viewCluster.equals(registry.cluster())
        && !rolledBack
        && !view.equals(registry.at(viewRevision))) {
      violation =
          what
              + ": view "
              + view
              + " at "
              + viewRevision
              + ", the registry held "
              + registry.at(viewRevision);
    }
  }

  @Override
  public void log(String words) {
    // For operators only.
  }

  // ---- the registry's side ----

  private void commit(String... keyValues) {
    commits++;
    registry.commit(keyValues);
    push();
  }

  boolean can(Step step) {
    return switch (step) {
      // A history that goes back under the same id and overtakes what was applied can't be
      // distinguished from its own
      // continuation by any client; an operator who restores gives a new id (docs/registry.md).
      case PUT_A, PUT_B, BOTH -> commits < MAX_COMMITS && !rolledBack;
      case DELETE_A -> commits < MAX_COMMITS && !rolledBack && registry.keys().containsKey("a");
      case COMPACT -> registry.compacted() < registry.revision();
      case SERVE -> request != null;
      case DELIVER -> !inTransit.isEmpty();
      case DELIVER_TWICE -> !inTransit.isEmpty() && faults < 2;
      case BREAK -> (request != null || watchAttempt >= 0 || !inTransit.isEmpty()) && faults < 2;
      case CANCEL -> watchAttempt >= 0 && faults < 2;
      case OTHER_CLUSTER -> registry.cluster().equals("c1") && faults < 2;
      // A backup holds its own history: one from before the last compaction is another matter.
      case GO_BACK ->
          registry.revision() > 2
              && registry.compacted() < registry.revision()
              && !rolledBack
              && faults < 2;
      case WAKE -> waiting;
      case STALE -> !late.isEmpty();
      case PROGRESS ->
          watchAttempt >= 0 && sentRevision == registry.revision() && inTransit.isEmpty();
    };
  }

  void take(Step step) {
    switch (step) {
      case PUT_A -> commit("a", "x");
      case PUT_B -> commit("b", "y");
      case DELETE_A -> commit("a", null);
      case BOTH -> commit("a", "p", "b", "q");
      case COMPACT -> registry.compact();
      case SERVE -> serve();
      case DELIVER -> inTransit.poll().deliver.run();
      case DELIVER_TWICE -> deliverTwice();
      case BREAK -> {
        faults++;
        lose();
        reportBroken();
      }
      case CANCEL -> cancel();
      case OTHER_CLUSTER -> replaceCluster();
      case GO_BACK -> goBack();
      case STALE -> late.poll().deliver.run();
      case WAKE -> {
        now = Moment.later(now, wake);
        watcher.wake(now);
      }
      default -> notifyProgress();
    }
  }

  private void serve() {
    Runnable serve = request;
    request = null;
    requested = "";
    serve.run();
  }

  private void deliverTwice() {
    faults++;
    Response first = inTransit.poll();
    first.deliver.run();
    first.deliver.run();
  }

  private void cancel() {
    faults++;
    long attempt = watchAttempt;
    watchAttempt = -1;
    send("cancelled", () -> watcher.onWatchCancelled(attempt, "scripted", now));
  }

  private void notifyProgress() {
    long attempt = watchAttempt;
    String of = registry.cluster();
    long current = registry.revision();
    send("progress " + current, () -> watcher.onProgress(attempt, of, current, now));
  }

  private void replaceCluster() {
    faults++;
    registry.replaceCluster();
    rolledBack = false;
    lose();
    reportBroken();
  }

  private void goBack() {
    faults++;
    registry.goBack();
    rolledBack = viewRevision > registry.revision() && registry.cluster().equals(viewCluster);
    lose();
    reportBroken();
  }

  private void reportBroken() {
    // The attempt under way is the watcher's newest; it must ignore the break of any other.
    for (long attempt = 0; attempt < 200; attempt++) {
      watcher.onConnectionLost(attempt, "scripted", now);
    }
  }

  String state() {
    List<String> texts = new ArrayList<>();
    inTransit.forEach(each -> texts.add(each.text));
    late.forEach(each -> texts.add("late " + each.text));
    return registry
        + "|"
        + commits
        + "|"
        + faults
        + rolledBack
        + "|"
        + requested
        + "|"
        + texts
        + "|"
        + (watchAttempt >= 0)
        + sentRevision
        + "|"
        + waiting
        + "|"
        + view
        + viewRevision
        + viewCluster
        + "|"
        + watcher.stateFingerprint();
  }

  /**
   * Runs on without further faults; returns what is wrong if the view does not become what the
   * registry holds, or null.
   */
  String settle() {
    for (int i = 0; i < MAX_SETTLING_STEPS && violation == null; i++) {
      Step next =
          can(Step.DELIVER)
              ? Step.DELIVER
              : can(Step.SERVE) ? Step.SERVE : can(Step.WAKE) ? Step.WAKE : null;
      if (next == null) {
        break;
      }
      take(next);
    }
    if (violation != null) {
      return violation;
    }
    return view.equals(registry.keys()) && registry.cluster().equals(viewCluster)
        ? null
        : "settled at "
            + view
            + " of "
            + viewCluster
            + ", the registry holds "
            + registry.keys()
            + " of "
            + registry.cluster();
  }
}
