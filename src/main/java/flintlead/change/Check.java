package flintlead.change;

import flintlead.change.Version.Line;
import flintlead.pool.Layout;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What is wrong with a version before it is tried. */
public final class Check {

    public static final int HOSTS_MOST = 10_000;

    private Check() {
    }

    /** @return each fault in words with what to do; none where it may be tried */
    public static List<String> of(Version from, Version to) {
        List<String> faults = new ArrayList<>();
        if (to.lines().isEmpty()) {
            faults.add("the list is empty; name at least one host");
        } else if (to.ready() == 0) {
            faults.add("no host is ready; leave at least one that does not drain");
        }
        if (to.lines().size() > HOSTS_MOST) {
            faults.add(to.lines().size() + " hosts; at most " + HOSTS_MOST + " are taken");
        }
        Map<String, String> owners = new HashMap<>();
        for (Line line : to.lines().values()) {
            for (String address : line.addresses()) {
                String other = owners.put(address, line.name());
                if (other != null) {
                    faults.add("hosts '" + other + "' and '" + line.name() + "' have one address " + address
                        + "; a host answers for itself only");
                }
            }
        }
        List<String> ways = to.layout().faults();
        faults.addAll(ways.isEmpty() && !to.lines().isEmpty() && !to.layout().equals(Layout.NONE) ? to.layout().faults(to.standing()) : ways);
        if (faults.isEmpty() && Difference.of(from, to).isNone()) {
            faults.add("nothing differs from version " + from.id());
        }
        return faults;
    }
}
