package flintlead.lab;

import flintlead.day.Day;
import flintlead.day.Chronicle;
import flintlead.day.Plan;
import flintlead.day.Result;
import flintlead.lab.policy.Policies;
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
            for (String name : new String[] {"open at the end", "flights at the end", "kept back by the ledger",
                "in the intake at the end", "in pools at the end", "pools of older layouts"}) {
                if (result.gateways().getOrDefault(name, 0L) > 0) {
                    return result.gateways().get(name) + " " + name;
                }
            }
            return null;
        }
    }

    private Lab() {
    }

    /** Plays the day with the network that its file names. */
    public static Run run(Plan plan, long seed) throws IOException {
        return run(plan, seed, null);
    }

    /** @param chronicle where what happens is written; null for nowhere */
    public static Run run(Plan plan, long seed, Chronicle chronicle) throws IOException {
        VirtualWorld world = new VirtualWorld(plan.network(), seed);
        Day day = new Day(plan, seed, world);
        if (!plan.policy().equals(Plan.CONTROL)) {
            day.decidedBy(Policies.of(plan.policy(), day.sights()));
        }
        if (chronicle != null) {
            day.writtenTo(chronicle);
        }
        try {
            Result result = day.play();
            return new Run(result, world.events(), world.sum(), null);
        } catch (RuntimeException e) {
            return new Run(null, world.events(), world.sum(), e + " at " + (e.getStackTrace().length > 0
                ? e.getStackTrace()[0] : "?"));
        }
    }
}
