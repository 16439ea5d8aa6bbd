package flintlead.admission;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Which connections a front keeps when there are more than its bound: an idle one that has asked nothing for a while
 * makes room for a new one, one with an invocation in the gateway never does. Pure.
 *
 * @param <C> a connection
 */
public final class Doorkeeper<C> {

    /** One connection as the doorkeeper knows it. */
    public final class Guest {
        private final C connection;
        private Moment idleSince;

        private Guest(C connection, Moment now) {
            this.connection = connection;
            this.idleSince = now;
        }

        public C connection() {
            return connection;
        }
    }

    private final int most;
    private final Span idleLeast;
    /** Idle ones, the one idle longest first. */
    private final Set<Guest> idle = new LinkedHashSet<>();
    private int guests;

    public Doorkeeper(int most, Span idleLeast) {
        this.most = most;
        this.idleLeast = idleLeast;
    }

    /** Whether one more may come in; where it takes an idle one's place, {@link #toClose} says whose, first. */
    public boolean admits(Moment now) {
        return guests < most || toClose(now) != null;
    }

    /** The idle connection that must go before another comes in; null where there is room, or none may go. */
    public Guest toClose(Moment now) {
        if (guests < most || idle.isEmpty()) {
            return null;
        }
        Guest longest = idle.iterator().next();
        return now.since(longest.idleSince).isShorterThan(idleLeast) ? null : longest;
    }

    public Guest enter(C connection, Moment now) {
        Guest guest = new Guest(connection, now);
        guests++;
        idle.add(guest);
        return guest;
    }

    /** It has invocations in the gateway, or none any more. */
    public void busy(Guest guest, boolean busy, Moment now) {
        if (busy) {
            idle.remove(guest);
        } else if (idle.add(guest)) {
            guest.idleSince = now;
        }
    }

    public void leave(Guest guest) {
        guests--;
        idle.remove(guest);
    }

    public int guests() {
        return guests;
    }
}
