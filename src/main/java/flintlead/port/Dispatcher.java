package flintlead.port;

import flintlead.time.Span;
import java.util.List;

/** What the gateway tells the decisions. Invocations are told through the {@link Handle} of each. */
public interface Dispatcher {

    Handle take(long invocation, Call call);

    /** The whole list of hosts: one that is missing has left. */
    void hostsAre(List<HostEntry> hosts);

    /** Changed entries only. */
    void hostsChanged(List<HostEntry> hosts);

    /** A call for the host list failed, or the subscription to it ended. */
    void hostsUnknown();

    void loaded(long host, long function, Outcome outcome, Span elapsed, int copies);

    /** The answer to a probe; decisions that send none need not listen. */
    default void probed(long host, Outcome outcome, Span elapsed, float[] report) {
    }

    /** A message from another gateway; decisions that tell nothing need not listen. */
    default void heard(int gateway, byte[] words) {
    }
}
