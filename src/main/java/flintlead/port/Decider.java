package flintlead.port;

/** Makes the decisions of one gateway. */
public interface Decider {

    /** @param seed of all chance in them */
    Dispatcher decide(Gateway gateway, Deployment deployment, long seed);
}
