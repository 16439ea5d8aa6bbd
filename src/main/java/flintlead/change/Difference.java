package flintlead.change;

import flintlead.change.Version.Line;
import flintlead.pool.Layout;
import flintlead.pool.Pool;
import flintlead.pool.Route;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What differs between two versions, by meaning: the order of lines does not. */
public record Difference(List<String> added, List<String> removed, List<String> drained, List<String> back, List<String> moved,
                         List<String> otherwise, List<String> pools, List<String> routes) {

    public static Difference of(Version from, Version to) {
        Difference all = new Difference(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(),
            new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (Map.Entry<String, Line> entry : to.lines().entrySet()) {
            Line now = entry.getValue();
            Line before = from.lines().get(entry.getKey());
            if (before == null) {
                all.added.add(now.name());
                continue;
            }
            if (now.drains() != before.drains()) {
                (now.drains() ? all.drained : all.back).add(now.name());
            }
            if (!now.addresses().equals(before.addresses())) {
                all.moved.add(now.name());
            }
            if (now.zone() != before.zone() || now.cell() != before.cell() || now.kind() != before.kind()
                || now.weight() != before.weight()) {
                all.otherwise.add(now.name());
            }
        }
        for (String name : from.lines().keySet()) {
            if (!to.lines().containsKey(name)) {
                all.removed.add(name);
            }
        }
        ways(from.layout(), to.layout(), all);
        return all;
    }

    private static void ways(Layout from, Layout to, Difference all) {
        for (Pool pool : to.pools()) {
            Pool before = from.pool(pool.name());
            if (before == null) {
                all.pools.add("+ " + pool.name());
            } else if (!before.equals(pool)) {
                all.pools.add("~ " + pool.name() + (before.hosts().equals(pool.hosts()) ? "" : ": other hosts"));
            }
        }
        from.pools().stream().filter(pool -> to.pool(pool.name()) == null).forEach(pool -> all.pools.add("- " + pool.name()));
        // Their order is their meaning: what stands in both in one order is not named.
        List<Route> rest = new ArrayList<>(from.routes());
        for (Route route : to.routes()) {
            int at = rest.indexOf(route);
            if (at < 0) {
                all.routes.add("+ " + route.print());
            } else {
                rest.subList(0, at).forEach(each -> all.routes.add("- " + each.print()));
                rest.subList(0, at + 1).clear();
            }
        }
        rest.forEach(each -> all.routes.add("- " + each.print()));
    }

    public boolean isNone() {
        return added.isEmpty() && removed.isEmpty() && drained.isEmpty() && back.isEmpty() && moved.isEmpty() && otherwise.isEmpty()
            && pools.isEmpty() && routes.isEmpty();
    }
}
