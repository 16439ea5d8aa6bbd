package flintlead.loop;

import flintlead.time.Moment;
import java.util.PriorityQueue;

/** Timers by time, those of one moment in the order they were set. */
public final class Timers {

    private record Timer(long micros, long order, Runnable then) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(micros, other.micros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timer> heap = new PriorityQueue<>();
    private long count;

    public void add(Moment when, Runnable then) {
        heap.add(new Timer(when.micros(), count++, then));
    }

    /** The moment of the next timer; null where there is none. */
    public Moment next() {
        Timer head = heap.peek();
        return head == null ? null : new Moment(head.micros);
    }

    /**
     * Takes the next timer that is due and was set before the given count; null if there is none. The count keeps a
     * timer that sets itself anew for now from holding the loop for ever.
     */
    public Runnable poll(Moment now, long setBefore) {
        Timer head = heap.peek();
        if (head == null || head.micros > now.micros() || head.order >= setBefore) {
            return null;
        }
        return heap.poll().then;
    }

    /** How many timers have ever been set. */
    public long count() {
        return count;
    }

    public int size() {
        return heap.size();
    }

    public void clear() {
        heap.clear();
    }
}
