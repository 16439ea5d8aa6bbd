package flintlead.state;

import flintlead.port.HostEntry;
import flintlead.time.Moment;
import java.util.HashMap;
import java.util.Map;

/** What a gateway knows of one host, from its first listing on. */
public final class Host {

    public HostEntry entry;
    public boolean listed = true;
    public final Map<Long, Mark> marks = new HashMap<>();
    /** Own dispatches out, and own dispatches to it since it started, as far as they are still counted. */
    public int inFlight;
    public final RecentTimes sentCold = new RecentTimes();
    /** Own dispatches it may have out, and the pace of its warm answers, as a share of their objectives. */
    public double room;
    public double pace;
    public Moment shrunkAt = new Moment(0);
    public Moment fullUntil = new Moment(0);
    public Moment heardAt = new Moment(0);
    /** Share of failures among recent outcomes. */
    public double failing;
    /** Times set aside in a row, until when, and the dispatches that were out then and still are. */
    public int asideTimes;
    public Moment asideUntil = new Moment(0);
    public int stranded;

    public Host(HostEntry entry) {
        this.entry = entry;
    }

    public long id() {
        return entry.host();
    }

    public Mark mark(long function) {
        return marks.computeIfAbsent(function, any -> new Mark());
    }
}
