package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.PriorityQueue;
import java.util.function.DoubleSupplier;

/**
 * The cores of a machine, shared evenly by the tasks on them (processor sharing; Kleinrock,
 * Queueing Systems vol. 2, 4.4): up to as many as there are cores run at full speed, more slow each
 * other down. All running tasks have received the same work since they began, so that one sum says
 * how far each has come. On the host's loop.
 */
final class SharedCores {

  /**
   * The speed may change while a machine warms up or ages; it is read again at least this often.
   */
  private static final Span SPEED_INTERVAL = Span.ofMillis(50);

  /** Work left over by rounding that counts as none. */
  private static final double ROUNDING_MS = 1e-6;

  private static final double MICROS_PER_MILLI = 1000.0;

  /** A running task; it is complete once the work received by each task reaches {@code until}. */
  private record Task(double until, long sequence, Runnable done) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byWork = Double.compare(until, other.until);
      return byWork != 0 ? byWork : Long.compare(sequence, other.sequence);
    }
  }

  private final EventExecutor loop;
  private final int cores;
  private final DoubleSupplier speed;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();

  /**
   * Work in milliseconds that each running task has received, counted from the beginning of time.
   */
  private double receivedMs;

  /** Work that each running task receives per millisecond. */
  private double rate;

  private Moment advancedAt;
  private long count;

  /** Cancels the timer; null for none. */
  private Runnable timer;

  /**
   * @param speed milliseconds of work that one core does per millisecond, now
   */
  SharedCores(EventExecutor loop, int cores, DoubleSupplier speed) {
    this.loop = loop;
    this.cores = cores;
    this.speed = speed;
  }

  /** Begins a task; {@code done} is run when its work is complete. */
  void run(double workMs, Runnable done) {
    advance();
    tasks.add(new Task(receivedMs + workMs, count++, done));
    setTimer();
  }

  int running() {
    return tasks.size();
  }

  /** Ends all tasks incomplete. */
  void clear() {
    tasks.clear();
    cancelTimer();
  }

  private void advance() {
    Moment now = loop.now();
    if (advancedAt != null && !tasks.isEmpty()) {
      receivedMs += now.since(advancedAt).micros() / MICROS_PER_MILLI * rate;
    }
    advancedAt = now;
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.run();
      timer = null;
    }
  }

  private void setTimer() {
    cancelTimer();
    if (tasks.isEmpty()) {
      return;
    }
    rate = speed.getAsDouble() / Math.max(1, (double) tasks.size() / cores);
    double leftMicros = Math.max(0, tasks.peek().until - receivedMs) / rate * 1000;
    // Rounded up: a microsecond short would only set the same timer again.
    Span wait =
        leftMicros >= SPEED_INTERVAL.micros()
            ? SPEED_INTERVAL
            : new Span((long) Math.ceil(leftMicros));
    timer = loop.scheduleAt(loop.now().plus(wait), this::timerDue);
  }

  private void timerDue() {
    timer = null;
    advance();
    while (!tasks.isEmpty() && tasks.peek().until - receivedMs <= ROUNDING_MS) {
      tasks.poll().done.run();
    }
    setTimer();
  }
}
