package flintlead.loop;

/** A loop with its transport: where a gateway, a host or a client lives. */
public interface Place extends Loop, Transport, Datagrams, AutoCloseable {

    /** Ends it: nothing on it happens any more, and its streams break. */
    @Override
    void close();
}
