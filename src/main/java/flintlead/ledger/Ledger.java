package flintlead.ledger;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Every invocation taken and not yet answered. One final answer is let out for each; a second is kept back and
 * reported, and one whose time is up without any is named, so that the gateway answers it whatever went wrong above.
 *
 * @param <A> what an answer is
 */
public final class Ledger<A> {

    private record Line<A>(Moment deadline, Consumer<A> reply) { }

    private final Span slack;
    private final Consumer<String> alarm;
    private final Map<Long, Line<A>> open = new LinkedHashMap<>();
    private long taken;
    private long answered;
    private long left;
    private long keptBack;
    private long overdue;

    /**
     * @param slack how long after its time an invocation may still be answered
     * @param alarm told in words whenever this guard had to act: something above it is broken
     */
    public Ledger(Span slack, Consumer<String> alarm) {
        this.slack = slack;
        this.alarm = alarm;
    }

    public void open(long invocation, Moment deadline, Consumer<A> reply) {
        Line<A> before = open.putIfAbsent(invocation, new Line<>(deadline, reply));
        if (before != null) {
            throw new IllegalStateException("invocation " + invocation + " was taken already");
        }
        taken++;
    }

    /** Lets the answer out if none was before; gives back whether it went. */
    public boolean answer(long invocation, A answer) {
        Line<A> line = open.remove(invocation);
        if (line == null) {
            keptBack++;
            alarm.accept("a second final answer for invocation " + invocation + " was kept back: " + answer);
            return false;
        }
        answered++;
        line.reply.accept(answer);
        return true;
    }

    /** The client has left: there is nobody to answer any more. */
    public boolean leave(long invocation) {
        boolean was = open.remove(invocation) != null;
        left += was ? 1 : 0;
        return was;
    }

    public boolean isOpen(long invocation) {
        return open.containsKey(invocation);
    }

    /** The invocations whose time, with the slack, is up; to be answered by the caller at once. */
    public List<Long> overdue(Moment now) {
        List<Long> late = new ArrayList<>(0);
        for (Map.Entry<Long, Line<A>> entry : open.entrySet()) {
            if (!now.isBefore(entry.getValue().deadline.plus(slack))) {
                late.add(entry.getKey());
            }
        }
        for (long invocation : late) {
            overdue++;
            alarm.accept("invocation " + invocation + " had no final answer when its time was up");
        }
        return late;
    }

    /** All that are open, oldest first. */
    public List<Long> open() {
        return new ArrayList<>(open.keySet());
    }

    public int size() {
        return open.size();
    }

    public long taken() {
        return taken;
    }

    public long answered() {
        return answered;
    }

    /** Whose client left before there was an answer. */
    public long left() {
        return left;
    }

    public long keptBack() {
        return keptBack;
    }

    public long lateOnes() {
        return overdue;
    }
}
