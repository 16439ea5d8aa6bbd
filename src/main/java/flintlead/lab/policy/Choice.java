package flintlead.lab.policy;

import flintlead.port.Call;
import java.util.List;
import java.util.Random;

/** Chooses a host for one dispatch. */
interface Choice {

    /**
     * @param open hosts that take new ones and were not tried yet by this invocation, in the order of their numbers
     * @return null to hold none of them fit just now
     */
    Peer of(Call call, List<Peer> open, Random random);

    /** It goes there now. */
    default void sent(Call call, Peer peer) {
    }

    /** It has ended there. */
    default void back(Call call, Peer peer) {
    }
}
