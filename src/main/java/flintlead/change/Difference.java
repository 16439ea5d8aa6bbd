package flintlead.change;

import flintlead.change.Version.Line;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What differs between two versions, by meaning: the order of lines does not. */
public record Difference(List<String> added, List<String> removed, List<String> drained, List<String> back, List<String> moved,
                         List<String> otherwise) {

    public static Difference of(Version from, Version to) {
        Difference all = new Difference(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(),
            new ArrayList<>(), new ArrayList<>());
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
        return all;
    }

    public boolean isNone() {
        return added.isEmpty() && removed.isEmpty() && drained.isEmpty() && back.isEmpty() && moved.isEmpty() && otherwise.isEmpty();
    }
}
