package flintlead.day;

import flintlead.standin.StandIn;

/** What can be seen of the hosts from outside all rules, for a policy that bounds what any could do. */
public interface Sights {

    /** Null where there is no such host, or no invocation of such a function has come yet. */
    StandIn.Sight of(long host, long function);
}
