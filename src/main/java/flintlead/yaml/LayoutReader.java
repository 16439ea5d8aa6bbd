package flintlead.yaml;

import flintlead.pool.Layout;
import flintlead.pool.Pattern;
import flintlead.pool.Pool;
import flintlead.pool.Route;
import flintlead.pool.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;

/** Reads pools and routes. */
public final class LayoutReader {

    private static final int NUMBERS_MOST = 65_535;
    private static final double SHARE_MOST = 1e9;

    private LayoutReader() {
    }

    /** What a file says, and where in it each part stands. */
    public static final class Read {
        private final Section top;
        private final Map<String, Section> parts = new HashMap<>();
        private Layout layout;

        private Read(Section top) {
            this.top = top;
        }

        /** @return null where the file has neither pools nor routes, or none that can be read */
        public Layout layout() {
            return layout;
        }

        /** Reports a fault of the layout at the line of the pool or route that it begins with. */
        public void wrong(String fault) {
            int cut = fault.lastIndexOf("; ");
            Matcher begin = BEGIN.matcher(fault);
            Section part = begin.lookingAt() ? parts.get(begin.group()) : null;
            if (part != null) {
                part.wrong(fault.startsWith("pool") ? "name" : "to", fault.substring(0, cut), fault.substring(cut + 2));
            } else {
                top.wrong(fault.contains("pools;") ? "pools" : "routes", fault.substring(0, cut), fault.substring(cut + 2));
            }
        }
    }

    private static final java.util.regex.Pattern BEGIN = java.util.regex.Pattern.compile("pool '[^']*'|route \\d+");

    /** What {@code pools} and {@code routes} say. Faults are collected. */
    public static Read read(Section top) {
        Read read = new Read(top);
        boolean any = top.has("pools");
        any |= top.has("routes");
        if (any) {
            read.layout = layout(top, read);
        }
        return read;
    }

    private static Layout layout(Section top, Read read) {
        List<Pool> pools = new ArrayList<>();
        for (Section each : top.list("pools")) {
            pools.add(pool(each));
            read.parts.put("pool '" + pools.get(pools.size() - 1).name() + "'", each);
        }
        List<Route> routes = new ArrayList<>();
        for (Section each : top.list("routes")) {
            routes.add(route(each));
            read.parts.put("route " + routes.size(), each);
        }
        if (pools.size() == 1 && routes.isEmpty()) {
            routes.add(Route.all(pools.get(0).name()));
        }
        try {
            Layout layout = new Layout(pools, routes);
            layout.faults().forEach(read::wrong);
            return layout;
        } catch (IllegalArgumentException e) {
            top.wrong("pools", e.getMessage(), "rename one of them");
            return null;
        }
    }

    private static Pool pool(Section from) {
        Pool usual = Pool.of("", Selector.ALL);
        Pool pool = new Pool(from.text("name", null), new Selector(patterns(from, "hosts"), numbers(from, "zones"), numbers(from, "kinds")),
            from.whole("least", usual.least(), 0, NUMBERS_MOST), from.whole("most", usual.most(), 1, Pool.MOST), from.texts("spillTo", List.of()));
        from.end();
        return pool;
    }

    private static Route route(Section from) {
        List<Route.Condition> when = new ArrayList<>();
        for (String text : from.texts("when", List.of())) {
            try {
                when.add(Route.Condition.parse(text));
            } catch (IllegalArgumentException e) {
                from.wrong("when", e.getMessage(), "see docs/pools.md");
            }
        }
        List<Route.Share> to = new ArrayList<>();
        if (from.has("split")) {
            for (Section each : from.list("split")) {
                to.add(new Route.Share(each.text("pool", null), each.number("share", 1, 0, SHARE_MOST)));
                each.end();
            }
            if (from.has("to")) {
                from.wrong("to", "stands beside split", "leave one of them out");
            }
        } else {
            to.add(new Route.Share(from.text("to", null), 1));
        }
        Route route = new Route(patterns(from, "functions"), from.texts("triggerTypes", List.of()), from.texts("customers", List.of()), when,
            to, from.oneOf("by", Route.By.FUNCTION));
        from.end();
        return route;
    }

    private static List<Pattern> patterns(Section from, String key) {
        List<Pattern> patterns = new ArrayList<>();
        for (String text : from.texts(key, List.of())) {
            try {
                patterns.add(new Pattern(text));
            } catch (IllegalArgumentException e) {
                from.wrong(key, e.getMessage(), "write a name, or one star for any text in it");
            }
        }
        return patterns;
    }

    private static List<Integer> numbers(Section from, String key) {
        List<Integer> numbers = new ArrayList<>();
        for (String text : from.texts(key, List.of())) {
            if (text.matches("\\d{1,5}") && Integer.parseInt(text) <= NUMBERS_MOST) {
                numbers.add(Integer.valueOf(text));
            } else {
                from.wrong(key, "'" + text + "' is no number from 0 to " + NUMBERS_MOST, "write for example [0, 1]");
            }
        }
        return numbers;
    }
}
