package flintlead.transport.loop;

import flintlead.time.Moment;
import java.util.PriorityQueue;

/**
 * Timers ordered by time; those of the same time run in the order in which they were added. A
 * cancelled timer releases its task at once, while its entry stays in the heap until it is reached
 * or until half of the heap is cancelled entries, which keeps cancellation cheap. Not thread-safe.
 */
public final class TimerQueue {

  /** Heaps with fewer cancelled entries than this are not purged. */
  private static final int PURGE_THRESHOLD = 1_024;

  private final class Timer implements Comparable<Timer>, Runnable {
    private final long micros;
    private final long sequence;

    /** Null once the timer has run or was cancelled. */
    private Runnable task;

    Timer(long micros, long sequence, Runnable task) {
      this.micros = micros;
      this.sequence = sequence;
      this.task = task;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(micros, other.micros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }

    /** Cancels the timer. */
    @Override
    public void run() {
      if (task != null) {
        task = null;
        cancelled++;
        purgeCancelled();
      }
    }
  }

  private final PriorityQueue<Timer> heap = new PriorityQueue<>();
  private long added;
  private int cancelled;

  /**
   * Adds a timer.
   *
   * @return cancels the timer when run; without effect once it has run
   */
  public Runnable add(Moment time, Runnable task) {
    Timer timer = new Timer(time.micros(), added++, task);
    heap.add(timer);
    return timer;
  }

  private void purgeCancelled() {
    if (cancelled > PURGE_THRESHOLD && cancelled > heap.size() / 2) {
      heap.removeIf(timer -> timer.task == null);
      cancelled = 0;
    }
  }

  private Timer head() {
    Timer head = heap.peek();
    while (head != null && head.task == null) {
      heap.poll();
      cancelled--;
      head = heap.peek();
    }
    return head;
  }

  /** The time of the next timer; null where there is none. */
  public Moment next() {
    Timer head = head();
    return head == null ? null : new Moment(head.micros);
  }

  /**
   * Removes the next timer that is due and was added before the given count, and returns its task.
   * The count keeps a timer that adds itself again for now from holding the event loop for ever.
   *
   * @param addedBefore a value of {@link #count()}
   * @return null if there is no such timer
   */
  public Runnable poll(Moment now, long addedBefore) {
    Timer head = head();
    if (head == null || head.micros > now.micros() || head.sequence >= addedBefore) {
      return null;
    }
    heap.poll();
    Runnable task = head.task;
    head.task = null;
    return task;
  }

  /** How many timers have ever been added. */
  public long count() {
    return added;
  }

  /** Entries in the heap, those of cancelled timers included. */
  public int size() {
    return heap.size();
  }
}
