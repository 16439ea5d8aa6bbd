package flintlead.day;

import flintlead.loop.Place;

/** What a script can do to the network of a world that has one of its own; the kernel's is out of reach. */
public interface Net {

    /** Nothing passes between the two any more, in one direction or both; what is sent meanwhile waits, as in a kernel's buffers. */
    void cut(Place from, Place to, boolean bothWays);

    /** What waited is sent again, and everything passes. */
    void heal(Place one, Place other);

    /** The machine is without power: its connections are not told, and nothing that is sent to it is answered. */
    void vanish(Place place);

    /** The machine is there again and knows nothing: what comes over its connections of before is reset. */
    void back(Place place);

    /** How much slower everything passes between the two; 1 for as usual. */
    void slow(Place one, Place other, double factor);

    /** The share of messages between the two that is lost and sent again; 0 for none. */
    void lose(Place one, Place other, double share);
}
