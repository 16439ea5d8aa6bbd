package flintlead.standin;

import flintlead.time.Moment;

/** What is wrong with a stand-in host just now; changed by script while it runs. */
public final class Troubles {

    /** Takes invocations and answers none. */
    public boolean hangs;
    /** Accepts connections and reads nothing. */
    public boolean silent;
    /** The share of invocations that fail at once. */
    public double fails;
    /** How much slower than usual it works. */
    public double slow = 1;
    /** Stands still until then. */
    public Moment stillUntil = new Moment(0);
    /** Says that it is full to everything. */
    public boolean full;
    /** The share of answers that break off in the middle with the connection. */
    public double resets;
    /** The share of answers of which half comes, and nothing more on that connection. */
    public double halves;
    /** The share of answers under a wrong number. */
    public double wrongIds;
    /** Its load reports stand still. */
    public boolean reportsLate;
}
