package flintlead.lab;

import flintlead.day.Day;
import flintlead.day.Plan;
import flintlead.day.Result;
import java.io.IOException;

/** Runs a day in virtual time. */
public final class Lab {

    /**
     * What came of a run.
     *
     * @param sum over all events: equal for equal file, seed and program
     * @param failure what was thrown, in words; null where nothing was
     */
    public record Run(Result result, long events, long sum, String failure) {

        /** Whether anything was wrong: a rule, a fault thrown, an invocation or dispatch left over. */
        public String wrong() {
            if (failure != null) {
                return failure;
            }
            if (!result.breaches().isEmpty()) {
                return result.breaches().get(0).toString();
            }
            for (String name : new String[] {"open at the end", "flights at the end", "kept back by the ledger"}) {
                if (result.gateways().getOrDefault(name, 0L) > 0) {
                    return result.gateways().get(name) + " " + name;
                }
            }
            return null;
        }
    }

    private Lab() {
    }

    public static Run run(Plan plan, long seed, Network network) throws IOException {
        VirtualWorld world = new VirtualWorld(network, seed);
        try {
            Result result = new Day(plan, seed, world).play();
            return new Run(result, world.events(), world.sum(), null);
        } catch (RuntimeException e) {
            return new Run(null, world.events(), world.sum(), e + " at " + (e.getStackTrace().length > 0
                ? e.getStackTrace()[0] : "?"));
        }
    }
}
