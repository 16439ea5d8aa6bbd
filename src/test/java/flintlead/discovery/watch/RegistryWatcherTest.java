package flintlead.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * No change missed, none twice, never back, or else a logged full read: explored exhaustively, then
 * by long random walks.
 */
class RegistryWatcherTest {

  private static final int DEPTH = 8;

  @Test
  void everySequenceOfStepsKeepsTheInvariants() {
    RegistryWatcherExplorer explorer = new RegistryWatcherExplorer();
    explorer.explore(DEPTH);
    System.out.println("follower: " + explorer.states + " states to depth " + DEPTH);
    assertNull(explorer.found);
    assertTrue(explorer.states > 10_000, explorer.states + " states");
  }

  @Property(tries = 300, seed = "11")
  void longRandomWalksKeepTheInvariants(@ForAll long seed) {
    assertNull(new RegistryWatcherExplorer().walk(seed, 400));
  }

  /** Records what the watcher asks for and applies. */
  private static final class RecordingActions implements WatchActions {
    final List<String> requests = new ArrayList<>();
    final List<String> applied = new ArrayList<>();
    long attempt;
    Moment wakeAt;

    @Override
    public void readPage(long of, String after, long revision) {
      attempt = of;
      requests.add("read " + after + " at " + revision);
    }

    @Override
    public void openWatch(long of, long from) {
      attempt = of;
      requests.add("watch " + from);
    }

    @Override
    public void abandonAttempt(long of) {
      requests.add("drop");
    }

    @Override
    public void scheduleWake(Moment when) {
      wakeAt = when;
    }

    @Override
    public void applyChanges(long revision, List<KeyChange> changes) {
      applied.add(
          "apply "
              + revision
              + " "
              + changes.stream().map(each -> each.key() + "=" + each.value()).toList());
    }

    @Override
    public void replaceAll(String cluster, long revision, Map<String, String> all, String why) {
      applied.add("replace " + cluster + " " + revision + " " + all);
    }

    @Override
    public void log(String words) {
      applied.add("say " + words);
    }
  }

  private final RecordingActions actions = new RecordingActions();
  private final RegistryWatcher watcher =
      new RegistryWatcher(actions, new Backoff(new Random(3)), ListLimits.DEFAULTS);
  private final Moment now = new Moment(1_000);

  private static KeyChange change(String key, String value, long revision) {
    return new KeyChange(key, value, revision);
  }

  @Test
  void staleReadIsIgnoredAndAConsistentOneThatIsBehindIsLogged() {
    watcher.resume("c", 10, Map.of("a", "1"), now);
    watcher.onCompacted(actions.attempt, 20, now);
    watcher.wake(actions.wakeAt);
    watcher.onReadPage(actions.attempt, "c", 7, List.of(), false, true, now);
    assertTrue(
        actions.applied.stream().noneMatch(each -> each.startsWith("replace")),
        actions.applied.toString());
    watcher.wake(actions.wakeAt);
    watcher.onReadPage(actions.attempt, "c", 8, List.of(change("a", "0", 3)), false, false, now);
    assertTrue(actions.applied.contains("say the registry went back from revision 10 to 8"));
    assertEquals("replace c 8 {a=0}", actions.applied.get(actions.applied.size() - 1));
  }

  @Test
  void fullResponsesAreAppliedAsTheirDifference() {
    watcher.resume("consul", 10, Map.of("a", "1", "b", "1"), now);
    watcher.onFullResponse(
        actions.attempt,
        "consul",
        12,
        List.of(change("a", "2", 12), change("c", "1", 11)),
        false,
        now);
    assertEquals("apply 12 [a=2, c=1, b=null]", actions.applied.get(0));
    assertEquals("watch 13", actions.requests.get(actions.requests.size() - 1));
    watcher.onFullResponse(
        actions.attempt, "consul", 12, List.of(change("a", "9", 12)), false, now);
    assertEquals(1, actions.applied.size(), "the same index brings nothing new");
    watcher.onFullResponse(actions.attempt, "consul", 5, List.of(), true, now);
    watcher.wake(actions.wakeAt);
    assertEquals(
        "watch 13",
        actions.requests.get(actions.requests.size() - 1),
        "one that lags changes nothing");
    watcher.onFullResponse(actions.attempt, "consul", 5, List.of(), false, now);
    assertTrue(
        actions.applied.get(actions.applied.size() - 1).contains("before the applied 12"),
        actions.applied.toString());
  }

  @Test
  void moreKeysThanTheBoundAreRejected() {
    watcher.start(now);
    List<KeyChange> many = new ArrayList<>();
    for (int i = 0; i <= ListLimits.DEFAULTS.keys(); i++) {
      many.add(change("k" + i, "", 1));
    }
    watcher.onReadPage(actions.attempt, "c", 5, many, true, false, now);
    assertTrue(actions.applied.get(0).contains("more than"), actions.applied.toString());
    assertTrue(watcher.stateFingerprint().length() < 1_000);
  }

  /**
   * 300 gateways lose a registry that is away for two seconds: the most requests in a second,
   * beside the naive client.
   */
  @Test
  void threeHundredWatchersDoNotOverloadARegistryThatComesBack() {
    int peak = 0;
    int naive = 0;
    for (boolean withBackoff : new boolean[] {true, false}) {
      TreeMap<Long, Integer> perSecond = new TreeMap<>();
      PriorityQueue<long[]> next = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
      Backoff[] backoffs = new Backoff[300];
      for (int i = 0; i < 300; i++) {
        backoffs[i] = new Backoff(new Random(i));
        next.add(
            new long[] {
              withBackoff ? backoffs[i].recordFailure(new Moment(0), true).micros() : 0, i
            });
      }
      while (!next.isEmpty()) {
        long[] one = next.poll();
        perSecond.merge(one[0] / 1_000_000, 1, Integer::sum);
        if (one[0] < 2_000_000) {
          next.add(
              new long[] {
                withBackoff
                    ? backoffs[(int) one[1]].recordFailure(new Moment(one[0]), true).micros()
                    : one[0] + 100_000,
                one[1]
              });
        }
      }
      int most = perSecond.values().stream().mapToInt(each -> each).max().orElse(0);
      if (withBackoff) {
        peak = most;
      } else {
        naive = most;
      }
    }
    System.out.println(
        "requests in the worst second: " + peak + ", a client that asks every 100 ms: " + naive);
    assertTrue(peak <= 450 && naive >= 3_000, peak + " and " + naive);
  }

  @Test
  void fullReadsAreLimitedEvenWhereTheRegistryAnswers() {
    Backoff backoff = new Backoff(new Random(1));
    Moment at = new Moment(0);
    int fullReads = 0;
    while (at.isBefore(new Moment(60_000_000))) {
      backoff.recordSuccess();
      at = backoff.recordFailure(at, true);
      fullReads++;
    }
    assertTrue(fullReads <= 2 + 60 / 5 + 1, fullReads + " fullReads in a minute");
    backoff.recordSuccess();
    Span wait = backoff.recordFailure(at, false).since(at);
    assertTrue(wait.micros() <= 1_000_000, "a watch that goes on is not rationed");
  }

  /** A registry's list was bounded in keys, but not in their values: it could fill the heap. */
  @Test
  void aListOfTooManyCharactersIsNotApplied() {
    RegistryWatcher small =
        new RegistryWatcher(actions, new Backoff(new Random(3)), new ListLimits(100, 50));
    small.resume("c", 10, Map.of("a", "1"), now);
    String value = "x".repeat(30);
    small.onWatchEvents(actions.attempt, "c", 11, List.of(change("b", value, 11)), false, now);
    assertEquals("apply 11 [b=" + value + "]", actions.applied.get(0));
    small.onWatchEvents(actions.attempt, "c", 12, List.of(change("c", value, 12)), false, now);
    assertEquals(11, small.appliedRevision());
    small.wake(actions.wakeAt);
    List<KeyChange> tooLong = List.of(change("b", value, 11), change("c", value, 12));
    small.onReadPage(actions.attempt, "c", 12, tooLong, false, false, now);
    assertEquals(11, small.appliedRevision());
    small.wake(actions.wakeAt);
    small.onReadPage(actions.attempt, "c", 13, List.of(change("d", "1", 13)), false, false, now);
    assertEquals(13, small.appliedRevision());
  }
}
