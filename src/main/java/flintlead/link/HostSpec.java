package flintlead.link;

import flintlead.loop.Address;
import flintlead.port.HostEntry;
import flintlead.time.Moment;

/**
 * A line of the host list.
 *
 * @param name what it is called everywhere; its number comes from it
 * @param startedAt when its process started; the zero moment for the distant past
 */
public record HostSpec(String name, Address address, int zone, int cell, int kind, HostEntry.State state,
                       Moment startedAt, double weight) {

    public static HostSpec ready(String name, Address address) {
        return new HostSpec(name, address, 0, 0, 0, HostEntry.State.READY, new Moment(0), 1);
    }

    public HostSpec in(int zone, int cell) {
        return new HostSpec(name, address, zone, cell, kind, state, startedAt, weight);
    }

    public HostSpec with(HostEntry.State state) {
        return new HostSpec(name, address, zone, cell, kind, state, startedAt, weight);
    }

    public HostSpec startedAt(Moment startedAt) {
        return new HostSpec(name, address, zone, cell, kind, state, startedAt, weight);
    }
}
