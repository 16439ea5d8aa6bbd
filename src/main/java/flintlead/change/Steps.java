package flintlead.change;

import flintlead.change.Version.Line;
import flintlead.pool.Blend;
import flintlead.pool.Board;
import flintlead.pool.Wish;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The steps from one version to another. What only adds goes first, all at once: it takes nothing from anybody. Then the routes pass over, a
 * bounded share of the functions a step, while the hosts of both layouts are there. Then what takes away, drains
 * or moves, a bounded share of the ready hosts a step, so that the functions that lose their home meanwhile, each of them a
 * load, are a bounded share too, and a host that moved is ready again before others follow. Hosts of one zone go
 * together as far as they fit, as two zones that lack hosts at once leave tokened invocations fewer places.
 */
public final class Steps {

    private Steps() {
    }

    /** The versions to go through, the last of them {@code to}; none where nothing differs. */
    public static List<Version> of(Version from, Version to, Caution caution) {
        List<Version> steps = new ArrayList<>();
        TreeMap<String, Line> now = new TreeMap<>(from.lines());
        List<Line> later = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (Line line : to.lines().values()) {
            Line before = from.lines().get(line.name());
            boolean costs = before != null && !before.drains()
                && (line.drains() || !line.addresses().equals(before.addresses()));
            if (costs) {
                later.add(line);
            } else {
                now.put(line.name(), line);
            }
        }
        from.lines().values().stream().filter(line -> !to.lines().containsKey(line.name())).forEach(line -> {
            if (line.drains()) {
                now.remove(line.name());
            } else {
                gone.add(line.name());
            }
        });
        add(steps, from, now, from.blend());
        if (!from.layout().equals(to.layout())) {
            int parts = (int) Math.ceil(1 / Math.max(caution.step(), 1e-3) - 1e-9);
            for (int i = 1; i <= parts; i++) {
                add(steps, from, now, i == parts ? to.blend() : new Blend(from.layout(), to.layout(), (double) i / parts));
            }
        }
        List<Line> costly = new ArrayList<>(later);
        gone.forEach(name -> costly.add(from.lines().get(name).draining()));
        costly.sort((one, other) -> one.zone() != other.zone() ? Integer.compare(one.zone(), other.zone())
            : one.name().compareTo(other.name()));
        long ready = Math.max(1, now.values().stream().filter(line -> !line.drains()).count());
        int most = (int) Math.max(1, Math.floor(ready * caution.step()));
        for (int at = 0; at < costly.size(); at += most) {
            for (Line line : costly.subList(at, Math.min(costly.size(), at + most))) {
                now.put(line.name(), line);
            }
            add(steps, from, now, to.blend());
        }
        gone.forEach(now::remove);
        add(steps, from, now, to.blend());
        return steps;
    }

    private static void add(List<Version> steps, Version from, Map<String, Line> now, Blend blend) {
        Version next = new Version(List.copyOf(now.values()), blend);
        if (!next.equals(steps.isEmpty() ? from : steps.get(steps.size() - 1))) {
            steps.add(next);
        }
    }

    /** Of the functions, the share that loses its home in the costliest step: what a walk by hash makes of it. */
    public static double worst(Version from, List<Version> steps) {
        double worst = 0;
        Version before = from;
        for (Version each : steps) {
            double lost = 0;
            for (Line line : before.lines().values()) {
                Line now = each.lines().get(line.name());
                lost += !line.drains() && (now == null || now.drains() || !now.addresses().equals(line.addresses())) ? 1 : 0;
            }
            worst = Math.max(worst, lost / Math.max(1, before.ready()));
            before = each;
        }
        return worst;
    }

    /** Of these invocations, the share that is led to other hosts in all, and that the costliest step moves. */
    public static double[] led(Version from, Version to, Caution caution, Collection<Wish> some) {
        if (from.layout().equals(to.layout())) {
            return new double[] {0, 0};
        }
        double all = Board.moves(from.layout(), to.layout(), some);
        return new double[] {all, all / Math.ceil(1 / Math.max(caution.step(), 1e-3) - 1e-9)};
    }
}
