package flintlead.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** What a gateway knows of one function wherever it stands. */
public final class Fn {

    public final long id;
    /** Its marks, one a host that it was ever sent to and that has not started anew since. */
    public final List<Mark> marks = new ArrayList<>();
    /** Hosts that its invocations, of all gateways, are spread over; a fraction is taken by chance. */
    public double spread = 1;
    public double told = 1;
    /** Own invocations of it that are held. */
    public int held;
    private Host[] walk;
    private Host[] walkedOver;

    public Fn(long id) {
        this.id = id;
    }

    /** The hosts in the order of a hash of function and id: a host's coming or going moves no other. */
    public Host[] walk(Host[] ring) {
        if (walkedOver != ring) {
            long start = Numbers.mix(id);
            walk = ring.clone();
            Arrays.sort(walk, Comparator.comparingLong(host -> Numbers.mix(start + host.id())));
            walkedOver = ring;
        }
        return walk;
    }

    /** Whether an invocation of it is held or out, so that what is known of it is in use. */
    public boolean busy() {
        for (Mark mark : marks) {
            if (mark.inFlight > 0) {
                return true;
            }
        }
        return held > 0;
    }

    /** Leaves no mark at any host. */
    public void forget() {
        marks.forEach(mark -> mark.host.functions.remove(this));
        marks.clear();
    }

    /** Its mark at the host; null if there is none. */
    public Mark at(Host host) {
        for (Mark mark : marks) {
            if (mark.host == host) {
                return mark;
            }
        }
        return null;
    }

    public Mark mark(Host host) {
        Mark mark = at(host);
        if (mark == null) {
            mark = new Mark(host);
            marks.add(mark);
            host.functions.add(this);
        }
        return mark;
    }
}
