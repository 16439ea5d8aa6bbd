package flintlead.rollout;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * One change over many gateways. Nothing is told to any before all have checked it; then one gateway, then waves, each begun when every gateway of
 * the one before has confirmed the change by itself and the changed ones have not done worse than the others meanwhile. Whatever goes
 * wrong, all that may have been told go back to what each of them had.
 *
 * <p>Every call to a gateway names the version that it is to have before, and is refused by a gateway that has another: an
 * answer that was lost, a second process that goes on with a record, and another operator's change can do no more than be refused. What
 * was sent and not answered may still come: a gateway that goes back is fenced first, and from then on refuses what is left of this rollout.
 */
public final class Rollout {

    /** Where it stands. The last three are ends. */
    public enum Stage { CHECKING, APPLYING, SETTLING, REVERTING, DONE, REVERTED, STUCK }

    /** What is asked of gateways; each call is answered by one call of {@link #planned}, {@link #told} or {@link #failed}, or never. */
    public interface Gateways {
        /** What would the change do, and what do you have? */
        void plan(int gateway);

        /** Change from that version to what is to be; {@code back}: to what the gateway had, which no fence is in the way of. */
        void apply(int gateway, String expects, boolean back);

        /** Take back what is under way. */
        void undo(int gateway);

        /** How do you stand? {@code fence}: and take nothing more of this rollout that goes forward. */
        void ask(int gateway, boolean fence);

        /** Keeps the record before anything that it speaks of is done. @return whether it is kept */
        boolean keep(Record record);

        void say(String line);
    }

    /** What is known of one gateway. */
    private static final class One {
        final String name;
        String from;
        String to;
        String before;
        boolean planned;
        boolean touched;
        boolean confirmed;
        boolean back;
        boolean lost;
        /** Since when it has not answered; null while it does. */
        Moment silentSince;
        Moment askedAt;
        /** Times that it was told to change. */
        int applies;
        /** What it counted when the wave that is judged began, and last. */
        Standing began;
        Standing last;

        boolean fenced;
        /** Whether somebody else has changed it: that is not this rollout's to take back. */
        boolean foreign;

        One(String name) {
            this.name = name;
        }

        /** Whether it has begun a change since this was begun; a process that has begun anew has not. */
        boolean hasTried() {
            return last.tried() > began.tried();
        }
    }

    /** A gateway that dies at each try would be told for ever. */
    private static final int APPLIES_MOST = 5;

    private final String id;
    private final Pace pace;
    private final Gateways gateways;
    private final List<One> all = new ArrayList<>();
    private final List<Integer> sizes;
    private Stage stage = Stage.CHECKING;
    private int wave;
    private Moment settledAt;
    /** When all that can be reached had changed; null before. */
    private Moment restSince;
    private String why = "";

    /** @param id its own, by which gateways know its calls */
    public Rollout(String id, List<String> names, Pace pace, Gateways gateways) {
        this.id = id;
        this.pace = pace;
        this.gateways = gateways;
        names.forEach(name -> all.add(new One(name)));
        this.sizes = pace.sizes(names.size());
    }

    /** Goes on with what another process began, or takes it back. */
    public static Rollout resumed(Record record, boolean undo, Pace pace, Gateways gateways) {
        Rollout rollout = new Rollout(record.id(), record.gateways().stream().map(Record.One::name).toList(), pace, gateways);
        for (int i = 0; i < rollout.all.size(); i++) {
            Record.One kept = record.gateways().get(i);
            One one = rollout.all.get(i);
            one.from = kept.from();
            one.to = kept.to();
            one.before = kept.before();
            one.touched = kept.touched();
            one.planned = true;
        }
        int touched = (int) rollout.all.stream().filter(one -> one.touched).count();
        while (rollout.wave < rollout.sizes.size() - 1 && rollout.sizes.get(rollout.wave) < touched) {
            rollout.wave++;
        }
        rollout.stage = Stage.APPLYING;
        if (undo || record.reverting() != null) {
            rollout.revert(record.reverting() != null ? record.reverting() : "by the operator's word");
        }
        return rollout;
    }

    public Stage stage() {
        return stage;
    }

    public boolean isOver() {
        return stage == Stage.DONE || stage == Stage.REVERTED || stage == Stage.STUCK;
    }

    /** What ended it, or is wrong, in words. */
    public String why() {
        return why;
    }

    /** The text that brings back what the gateway had; null before it has told. */
    public String before(int gateway) {
        return all.get(gateway).before;
    }

    /** How each gateway stands, a line each. */
    public List<String> lines() {
        return all.stream().map(one -> one.name + ": " + (one.lost ? "not reached" : stage == Stage.REVERTING || stage == Stage.REVERTED
            ? one.back ? "as it was, " + one.from : "going back" : one.confirmed ? "changed, " + one.to : one.touched ? "changing" : "as it was")).toList();
    }

    // ---- what gateways answer ----

    /** @param faults of the change at that gateway; none where it may be tried */
    public void planned(int gateway, List<String> faults, String from, String to, String before, Moment now) {
        One one = all.get(gateway);
        heard(one);
        if (stage != Stage.CHECKING) {
            return;
        }
        if (!faults.isEmpty()) {
            end(Stage.REVERTED, one.name + ": " + String.join("; ", faults));
            return;
        }
        one.from = from;
        one.to = to;
        one.before = before;
        one.planned = true;
    }

    /** How the gateway stands now. {@code fenced}: it has been told to take nothing more that goes forward. */
    public void told(int gateway, Standing standing, boolean fenced, Moment now) {
        One one = all.get(gateway);
        heard(one);
        one.began = one.began == null || standing.succeeded() + standing.failed() < one.began.succeeded() + one.began.failed() ? standing : one.began;
        one.last = standing;
        if (isOver() || !one.planned) {
            return;
        }
        if (stage == Stage.REVERTING) {
            one.back = !one.touched || fenced && standing.steady() && standing.good().equals(one.from);
            one.fenced = fenced;
            return;
        }
        if (!one.touched || !standing.steady()) {
            return;
        }
        if (standing.good().equals(one.to)) {
            one.confirmed = true;
        } else if (!standing.good().equals(one.from)) {
            revert(one.name + " has version " + standing.good() + ": somebody else changes it");
        } else if (one.confirmed) {
            revert(one.name + " has gone back to " + one.from + " by itself");
        } else if (one.hasTried() && standing.last().startsWith(one.to + " ")) {
            revert(one.name + ": " + standing.last());
        } else if (one.applies >= APPLIES_MOST) {
            revert(one.name + " has not changed though told " + one.applies + " times");
        }
    }

    /**
     * No answer, or a refusal.
     *
     * @param reached whether the gateway said so itself
     */
    public void failed(int gateway, boolean reached, String what, Moment now) {
        One one = all.get(gateway);
        if (reached) {
            heard(one);
            if (stage == Stage.CHECKING) {
                end(Stage.REVERTED, one.name + ": " + what);
            } else if (!isOver()) {
                // Refused as it has another version, or is busy: how it stands tells which.
                gateways.say(one.name + " refused: " + what);
            }
        } else if (one.silentSince == null) {
            one.silentSince = now;
        }
    }

    private static void heard(One one) {
        one.silentSince = null;
        one.lost = false;
    }

    // ---- the course ----

    /** Time has come to look; call it every {@code poll}. */
    public void wake(Moment now) {
        if (isOver()) {
            return;
        }
        for (One one : all) {
            one.lost = one.silentSince != null && !now.since(one.silentSince).isShorterThan(pace.patience());
        }
        switch (stage) {
            case CHECKING -> check(now);
            case APPLYING -> apply(now);
            case SETTLING -> settle(now);
            case REVERTING -> goBack(now);
            default -> { }
        }
    }

    private boolean due(One one, Moment now) {
        boolean due = one.askedAt == null || !now.since(one.askedAt).isShorterThan(pace.poll());
        one.askedAt = due ? now : one.askedAt;
        return due;
    }

    private void check(Moment now) {
        for (int i = 0; i < all.size(); i++) {
            One one = all.get(i);
            if (one.lost) {
                // Half a fleet changed is what this is there to prevent: nothing is begun unless all can be told.
                end(Stage.REVERTED, one.name + " can't be reached, and nothing was begun");
                return;
            }
            if ((!one.planned || one.last == null) && due(one, now)) {
                gateways.plan(i);
                gateways.ask(i, false);
            }
        }
        if (all.stream().allMatch(one -> one.planned && one.last != null)) {
            begin(now);
        }
    }

    private void begin(Moment now) {
        for (int i = 0; i < sizes.get(wave); i++) {
            all.get(i).touched = true;
        }
        if (!keep(null)) {
            all.subList(wave == 0 ? 0 : sizes.get(wave - 1), sizes.get(wave)).forEach(one -> one.touched = false);
            revert("its record can't be written");
            return;
        }
        stage = Stage.APPLYING;
        all.forEach(one -> {
            one.began = one.last;
            one.askedAt = null;
        });
        gateways.say("wave " + (wave + 1) + " of " + sizes.size() + ": " + sizes.get(wave) + " of " + all.size() + " gateways");
    }

    private void apply(Moment now) {
        for (int i = 0; i < all.size(); i++) {
            One one = all.get(i);
            if (!due(one, now)) {
                continue;
            }
            Standing last = one.last;
            if (one.touched && !one.confirmed && last != null && last.steady() && last.good().equals(one.from) && !one.hasTried()
                && one.applies < APPLIES_MOST) {
                one.applies++;
                gateways.apply(i, one.from, false);
            }
            gateways.ask(i, false);
        }
        if (tooManyLost()) {
            return;
        }
        if (all.stream().filter(one -> one.touched).allMatch(one -> one.confirmed || one.lost)) {
            stage = Stage.SETTLING;
            settledAt = now.plus(pace.settle());
        }
    }

    private boolean tooManyLost() {
        List<String> lost = all.stream().filter(one -> one.lost).map(one -> one.name).toList();
        if (lost.size() > pace.lostMost() * all.size()) {
            revert("too many can't be reached: " + lost);
            return true;
        }
        return false;
    }

    private void settle(Moment now) {
        for (int i = 0; i < all.size(); i++) {
            if (due(all.get(i), now)) {
                gateways.ask(i, false);
            }
        }
        if (tooManyLost()) {
            return;
        }
        String worse = worse();
        if (worse != null) {
            revert(worse);
        } else if (!now.isBefore(settledAt)) {
            if (wave + 1 < sizes.size()) {
                wave++;
                begin(now);
            } else if (all.stream().allMatch(one -> one.confirmed)) {
                end(Stage.DONE, "all " + all.size() + " gateways have changed");
            } else if (restSince != null && now.since(restSince).isLongerThan(pace.patience())) {
                end(Stage.STUCK, "changed but for " + all.stream().filter(one -> !one.confirmed).map(one -> one.name).toList()
                    + ", which can't be reached; go on with the record when they can");
            } else {
                restSince = restSince == null ? now : restSince;
                stage = Stage.APPLYING;
            }
        }
    }

    /**
     * Whether the changed do worse than the others in the same time: what ails all of them at once is not the change's. Where none is left to be held against,
     * each gateway's own watch has judged.
     */
    private String worse() {
        double[] changed = new double[2];
        double[] others = new double[2];
        for (One one : all) {
            if (one.last != null && one.began != null) {
                double[] side = one.touched ? changed : others;
                side[0] += one.last.succeeded() - one.began.succeeded();
                side[1] += one.last.failed() - one.began.failed();
            }
        }
        double n = changed[0] + changed[1];
        double m = others[0] + others[1];
        if (n < pace.least() || m < pace.least()) {
            return null;
        }
        double here = changed[1] / n;
        double there = others[1] / m;
        double pooled = (changed[1] + others[1]) / (n + m);
        double error = Math.sqrt(Math.max(1e-9, pooled * (1 - pooled) * (1 / n + 1 / m)));
        return here - there - pace.worse() > pace.certainty() * error
            ? Math.round(1000 * here) / 10.0 + "% fail at the changed gateways and " + Math.round(1000 * there) / 10.0 + "% at the others" : null;
    }

    // ---- back ----

    /** All that may have been told go back. */
    public void revert(String because) {
        if (isOver() || stage == Stage.REVERTING) {
            return;
        }
        why = because;
        if (stage == Stage.CHECKING) {
            end(Stage.REVERTED, because);
            return;
        }
        stage = Stage.REVERTING;
        gateways.say("all go back: " + because);
        // Where it can't be kept the older record says more than enough: who goes on with it asks each gateway how it stands.
        keep(because);
        all.forEach(one -> {
            one.back = !one.touched;
            one.askedAt = null;
            one.silentSince = null;
        });
    }

    private boolean keep(String reverting) {
        return gateways.keep(new Record(id, all.stream().map(one -> new Record.One(one.name, one.from, one.to, one.before, one.touched)).toList(), reverting));
    }

    private void goBack(Moment now) {
        for (int i = 0; i < all.size(); i++) {
            One one = all.get(i);
            if (one.back || !due(one, now)) {
                continue;
            }
            Standing last = one.fenced ? one.last : null;
            boolean idle = last != null && last.steady();
            if (last != null && !idle && last.good().equals(one.from)) {
                gateways.undo(i);
            } else if (idle && last.good().equals(one.to)) {
                gateways.apply(i, one.to, true);
            }
            one.foreign = idle && !last.good().equals(one.from) && !last.good().equals(one.to);
            gateways.ask(i, true);
        }
        List<String> foreign = all.stream().filter(one -> one.foreign).map(one -> one.name + " has version " + one.last.good()).toList();
        if (all.stream().allMatch(one -> one.back)) {
            end(Stage.REVERTED, why);
        } else if (!foreign.isEmpty() && all.stream().allMatch(one -> one.back || one.foreign)) {
            end(Stage.STUCK, String.join(", ", foreign) + ", neither what it had nor the new one; " + why);
        } else if (all.stream().allMatch(one -> one.back || one.lost || one.foreign)) {
            end(Stage.STUCK, all.stream().filter(one -> !one.back).map(one -> one.name).toList() + " can't be reached to go back; " + why);
        }
    }

    private void end(Stage how, String because) {
        stage = how;
        why = because;
        gateways.say(how.name().toLowerCase(java.util.Locale.ROOT) + ": " + because);
    }
}
