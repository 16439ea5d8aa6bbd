package flintlead.discovery.watch;

import flintlead.time.Moment;
import java.util.List;
import java.util.Map;

/**
 * What a {@link RegistryWatcher} asks of its environment: requests to the registry, a timer, and
 * where the applied changes go.
 *
 * <p>All methods are called on the watcher's loop, from within its own methods.
 */
public interface WatchActions {

  /**
   * Requests one page of a full read.
   *
   * @param attempt the number to hand back with the response
   * @param after the last key of the page before; null for the first page
   * @param revision the revision that the page is to be of; 0 for the newest
   */
  void readPage(long attempt, String after, long revision);

  /**
   * Opens a watch.
   *
   * @param attempt the number to hand back with each response
   * @param from the first revision whose changes are wanted
   */
  void openWatch(long attempt, long from);

  /** Closes whatever is open for the attempt: its responses are ignored from now on. */
  void abandonAttempt(long attempt);

  /** Schedules a call of {@link RegistryWatcher#wake}; replaces no earlier one. */
  void scheduleWake(Moment when);

  /** Applies all changes after the last applied revision up to this one; the list may be empty. */
  void applyChanges(long revision, List<KeyChange> changes);

  /**
   * Replaces all that was applied before by the result of a full read.
   *
   * @param why the reason for the full read, for logs
   */
  void replaceAll(String cluster, long revision, Map<String, String> all, String why);

  /** All that the registry has, as of now, was applied. */
  default void upToDate() {}

  /** Logs a condition that an operator should know of. */
  void log(String words);
}
