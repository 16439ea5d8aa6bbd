package flintlead.change;

import flintlead.time.Moment;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * One gateway's changes, one at a time: staged, written down, applied step by step, watched, and confirmed or undone. An
 * undo goes back to the good version at once and sends nothing anew: hosts that come back to the list take new dispatches, what is out
 * stays where it is. A process that dies before the confirmation begins again with the good version.
 */
public final class Changes {

    /** Where a change stands. */
    public enum Stage { STEADY, WRITING, APPLYING, WATCHING, UNDOING }

    /** What it asks of the gateway. */
    public interface Gateway {
        /**
         * The list and its layout are this from now on, for all that is taken from now on.
         *
         * @return what stands in the way, and then nothing has changed; none where it is done
         */
        List<String> list(Version version);

        void wakeAt(Moment when);

        void say(String line);
    }

    private final Caution caution;
    private final Journal journal;
    private final Gateway gateway;
    private final Supplier<Reading> readings;
    private Version good;
    private Version tried;
    private Version now;
    private List<Version> steps = List.of();
    private int step;
    private Stage stage = Stage.STEADY;
    private Reading begin;
    private Reading before;
    private Moment nextAt;
    private Moment deadSince;
    /** Pools that no host of answers, and since when. */
    private final Map<String, Moment> deadPools = new HashMap<>();
    private boolean finding;
    private String last = "none yet";

    /** @param good the version in force */
    public Changes(Version good, Caution caution, Journal journal, Gateway gateway, Supplier<Reading> readings) {
        this.good = good;
        this.now = good;
        this.caution = caution;
        this.journal = journal;
        this.gateway = gateway;
        this.readings = readings;
        this.begin = readings.get();
    }

    /**
     * What to begin with after the process before has died.
     *
     * @param kept its record; null for none
     * @param file the version of the file that the gateway was started with
     */
    public static Version recovered(Journal.Record kept, Version file) {
        // A file that has been written anew since goes before what was confirmed in service under the old one: it is what the
        // operator sees. An unconfirmed one never counts.
        return kept == null ? file : kept.good();
    }

    public Version now() {
        return now;
    }

    public Version good() {
        return good;
    }

    public Stage stage() {
        return stage;
    }

    /** How the last change ended. */
    public String last() {
        return last;
    }

    public int step() {
        return step;
    }

    public int steps() {
        return steps.size();
    }

    /** Begins a change. @return what is wrong; none where it is under way */
    public List<String> apply(Version to, Moment at) {
        if (stage != Stage.STEADY) {
            return List.of("a change to version " + (tried == null ? good : tried) + " is " + stage.name().toLowerCase(java.util.Locale.ROOT)
                + "; wait for its end, or undo it");
        }
        List<String> faults = Check.of(good, to);
        if (!faults.isEmpty()) {
            return faults;
        }
        stage = Stage.WRITING;
        tried = to;
        steps = Steps.of(good, to, caution);
        step = 0;
        journal.write(new Journal.Record(good, to), written -> {
            if (stage != Stage.WRITING) {
                return;
            }
            if (!written) {
                over("not begun: its record could not be written");
                return;
            }
            before = readings.get();
            deadSince = null;
            deadPools.clear();
            stage = Stage.APPLYING;
            next(at);
        });
        return List.of();
    }

    private void next(Moment at) {
        Version to = steps.get(step);
        List<String> faults = gateway.list(to);
        if (!faults.isEmpty()) {
            undo(String.join("; ", faults));
            return;
        }
        now = to;
        step++;
        gateway.say("change to " + tried + ": step " + step + " of " + steps.size() + " is version " + now);
        boolean all = step == steps.size();
        stage = all ? Stage.WATCHING : Stage.APPLYING;
        nextAt = at.plus(all ? caution.watch() : caution.settle());
        look(at);
    }

    /** Time has come to look; harmless at any time. */
    public void wake(Moment at) {
        if (stage != Stage.APPLYING && stage != Stage.WATCHING || finding) {
            return;
        }
        Reading reading = readings.get();
        deadSince = reading.lives() ? null : deadSince == null ? at : deadSince;
        String pool = illPool(reading, at);
        if (pool != null) {
            undo(pool);
        } else if (deadSince != null && !at.since(deadSince).isShorterThan(caution.dead())) {
            undo("no host of version " + now + " answers");
        } else if (Reading.isWorse(begin, before, reading, caution, 1 + reading.pools().size())) {
            undo("answers are worse: " + (reading.failed() - before.failed()) + " of "
                + (reading.failed() + reading.succeeded() - before.failed() - before.succeeded()) + " since it began did not succeed");
        } else if (at.isBefore(nextAt)) {
            look(at);
        } else if (stage == Stage.APPLYING) {
            next(at);
        } else {
            confirm();
        }
    }

    /**
     * A change is as bad where one pool of many dies by it as where the only one does. A pool that was dead before, with the
     * same hosts, is not laid to the change.
     *
     * @return what is wrong with it; null for none
     */
    private String illPool(Reading reading, Moment at) {
        for (Map.Entry<String, Reading> each : new TreeMap<>(reading.pools()).entrySet()) {
            String name = each.getKey();
            boolean wasDead = before.pools().containsKey(name) && !before.of(name).lives() && good.layout().pool(name) != null
                && now.layout().pool(name) != null && good.layout().pool(name).hosts().equals(now.layout().pool(name).hosts());
            if (each.getValue().lives() || wasDead) {
                deadPools.remove(name);
            } else if (!at.since(deadPools.computeIfAbsent(name, any -> at)).isShorterThan(caution.dead())) {
                return "no host of pool " + name + " answers";
            }
            if (Reading.isWorse(begin.of(name), before.of(name), each.getValue(), caution, 1 + reading.pools().size())) {
                return "answers of pool " + name + " are worse: " + (each.getValue().failed() - before.of(name).failed())
                    + " since it began did not succeed";
            }
        }
        return null;
    }

    /** Often enough that a dead list is undone well within seconds. */
    private void look(Moment at) {
        Moment soon = at.plus(caution.dead().times(0.25));
        gateway.wakeAt(soon.isBefore(nextAt) ? soon : nextAt);
    }

    private void confirm() {
        finding = true;
        journal.write(new Journal.Record(tried, null), written -> {
            finding = false;
            if (stage != Stage.WATCHING) {
                return;
            }
            if (!written) {
                undo("its confirmation could not be written, and a restart would undo it");
                return;
            }
            Version was = good;
            good = tried;
            over("confirmed: " + was + " is now " + good);
        });
    }

    /** Goes back to the good version at once. @return whether there was anything to undo */
    public boolean undo(String why) {
        if (stage != Stage.APPLYING && stage != Stage.WATCHING && stage != Stage.WRITING) {
            return false;
        }
        boolean listed = stage != Stage.WRITING;
        stage = Stage.UNDOING;
        finding = false;
        if (listed) {
            now = good;
            // The good layout's pools have their numbers still, or had room for them a moment ago: nothing stands in its way.
            gateway.list(good).forEach(gateway::say);
        }
        String how = "undone: " + why;
        gateway.say("change to " + tried + " " + how);
        // Where this can't be written the old record says the same: good, and something tried that does not count.
        journal.write(new Journal.Record(good, null), written -> over(how));
        return true;
    }

    private void over(String how) {
        gateway.say("change to " + tried + " " + how);
        last = tried + " " + how;
        stage = Stage.STEADY;
        tried = null;
        steps = List.of();
        step = 0;
        begin = readings.get();
    }
}
