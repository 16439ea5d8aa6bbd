package flintlead.day;

import flintlead.client.Reply;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/** One try of a client, as the client saw it. */
public final class Try {

    /** An answer, and when it came. */
    public record Heard(Reply.Kind kind, boolean mayHaveRun, Moment at) { }

    public final String gateway;
    public final String triggerType;
    public final String token;
    public final Moment at;
    public final Span timeout;
    public final Moment firstAt;
    public final List<Heard> heard = new ArrayList<>(1);
    /** The client left, or its gateway was killed: nothing is owed to it. */
    public boolean excused;

    public Try(String gateway, String triggerType, String token, Moment at, Span timeout, Moment firstAt) {
        this.gateway = gateway;
        this.triggerType = triggerType;
        this.token = token;
        this.at = at;
        this.timeout = timeout;
        this.firstAt = firstAt;
    }
}
