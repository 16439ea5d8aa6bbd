package flintlead.day;

import flintlead.loop.Place;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Path;

/** What a day is played in: real threads and sockets, or virtual ones. */
public interface World extends AutoCloseable {

    /** A place of its own, as a machine or process would be. */
    Place place(String name);

    /** The same in a hall, where the world has halls. */
    default Place place(String name, int hall) {
        return place(name);
    }

    /** A place of a machine of its own in a hall, where the world can tell machines apart; else the shared one. */
    default Place beside(Place shared, String name, int hall) {
        return shared;
    }

    /** What can be done to the network; null where it is the kernel's. */
    default Net net() {
        return null;
    }

    /** A disk that outlives its processes; null for none. */
    default ScriptedDisk disk(String name) {
        return null;
    }

    /** The clock that all places share. */
    Moment clock();

    /** The wall clock, in milliseconds. */
    long epochMs();

    /** Where Unix sockets lie. A name by chance would make two virtual runs differ by its length. */
    Path folder() throws IOException;

    /** Runs what may wait for a place, beside the places. */
    void aside(String name, Runnable task);

    /** Lets time pass, from outside of all places. */
    void pass(Span span);

    /** The place stands still for the span, from now on; from any place. */
    void stall(Place place, Span span, Runnable over);

    @Override
    void close() throws IOException;
}
