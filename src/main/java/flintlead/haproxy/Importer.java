package flintlead.haproxy;

import flintlead.haproxy.Report.Fate;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Says what a source means here. Each backend or listen section with servers becomes a gateway's file of its own, as there
 * are no pools within a gateway; the frontends that lead to it by default are where its clients come in. Where the
 * source's meaning and this program's differ, this program's holds and the report says so.
 */
public final class Importer {

    /** Files by name, and what became of each line. */
    public record Imported(Map<String, String> files, Report report) { }

    private static final Span TIMEOUT = Span.ofMillis(3_000);
    private static final Span TIMEOUT_MOST = Span.ofMillis(600_000);
    private static final int DISPATCHES_MOST = 16;

    private final Source source;
    private final String sockets;
    private final Report report = new Report();
    private final Map<String, Part> pools = new LinkedHashMap<>();
    private final Map<String, List<String>> fronts = new HashMap<>();
    private final Map<String, Integer> connections = new HashMap<>();
    private final Map<String, List<Server>> servers = new HashMap<>();

    private Importer(Source source, String sockets) {
        this.source = source;
        this.sockets = sockets;
    }

    /** @param sockets the folder for sockets of pools that no frontend leads to by default */
    public static Imported of(Source source, String sockets) {
        return new Importer(source, sockets).run();
    }

    private Imported run() {
        for (Part part : source.parts()) {
            if (part.is("backend") || part.is("listen")) {
                Part other = pools.putIfAbsent(part.name(), part);
                if (other != null) {
                    report.assume(part.head().where() + ": '" + part.name() + "' stands twice; only that at " + other.head().where()
                        + " counts");
                }
            }
        }
        source.troubles().forEach(report::add);
        source.parts().forEach(this::part);
        Map<String, String> files = new LinkedHashMap<>();
        for (Map.Entry<String, Part> pool : pools.entrySet()) {
            List<Server> some = servers.getOrDefault(pool.getKey(), List.of());
            if (some.isEmpty()) {
                report.assume("'" + pool.getKey() + "' has no server that can be taken over: no file is written for it");
            } else {
                if (files.containsKey(file(pool.getKey()))) {
                    report.assume("'" + pool.getKey() + "' has no file: its name in a file's letters is another's; rename it");
                    continue;
                }
                files.put(file(pool.getKey()), yaml(pool.getKey(), pool.getValue(), some));
            }
        }
        return new Imported(files, report);
    }

    private static String file(String pool) {
        return pool.replaceAll("[^A-Za-z0-9._-]", "_") + ".yaml";
    }

    // ---- each line's fate ----

    private void part(Part part) {
        boolean known = Set.of("global", "defaults", "frontend", "backend", "listen").contains(part.kind());
        boolean counted = !part.is("backend") && !part.is("listen") || pools.get(part.name()) == part;
        if (!known) {
            report.add(part.head(), Fate.DROPPED, "there are no such sections here");
        } else if (!counted) {
            report.add(part.head(), Fate.DROPPED, "a section of this name stands above");
        } else {
            report.add(part.head(), Fate.MAPPED, "");
        }
        List<String> defaultServer = inherited(part.defaults());
        for (Line line : part.lines()) {
            if (!known || !counted) {
                report.add(line, Fate.DROPPED, "its section has no place here");
            } else if (line.keyword().equals("default-server")) {
                defaultServer(line, defaultServer);
            } else if (line.keyword().equals("server")) {
                server(part, line, defaultServer);
            } else {
                line(part, line);
            }
        }
    }

    private List<String> inherited(Part defaults) {
        List<String> words = new ArrayList<>();
        if (defaults != null) {
            words.addAll(inherited(defaults.defaults()));
            defaults.lines().stream().filter(line -> line.keyword().equals("default-server"))
                .forEach(line -> words.addAll(line.words().subList(1, line.words().size())));
        }
        return words;
    }

    private void defaultServer(Line line, List<String> before) {
        List<String> own = line.words().subList(1, line.words().size());
        List<String> whole = new ArrayList<>(List.of("server", "x", "127.0.0.1:1"));
        Server alone = new Server(new Line(line.file(), line.number(), whole), own);
        before.addAll(own);
        settle(line, alone);
    }

    private void server(Part part, Line line, List<String> defaultServer) {
        if (!part.is("backend") && !part.is("listen")) {
            report.add(line, Fate.UNKNOWN, "servers stand in backend and listen sections");
            return;
        }
        Server server = new Server(line, defaultServer);
        List<Server> some = servers.computeIfAbsent(part.name(), any -> new ArrayList<>());
        if (server.fate == Fate.MAPPED && some.stream().anyMatch(other -> other.name.equals(server.name))) {
            report.add(line, Fate.UNKNOWN, "a server '" + server.name + "' stands above");
            return;
        }
        if (server.backup) {
            server.differs.add("a backup is listed as draining: it takes nothing until its state is made ready by hand");
        } else if (server.disabled) {
            server.differs.add("it is listed as draining, and finishes what it has");
        }
        if (server.weighted && server.weight == 0) {
            server.differs.add("weight 0 is listed as draining");
        } else if (server.weighted) {
            server.differs.add("the weight shares out functions, not single calls, and room goes before it");
        }
        if (server.maxconn > 0) {
            server.differs.add("one bound holds for all hosts of a gateway: the least of them");
        }
        if (server.slowstart != null) {
            server.differs.add("one time holds for all hosts of a gateway: the longest of them");
        }
        if (server.fate == Fate.MAPPED) {
            some.add(server);
        }
        settle(line, server);
    }

    private void settle(Line line, Server server) {
        if (server.fate != Fate.MAPPED) {
            report.add(line, server.fate, server.why);
        } else if (!server.differs.isEmpty()) {
            report.add(line, Fate.DIFFERS, String.join("; ", server.differs));
        } else {
            report.add(line, Fate.MAPPED, "");
        }
    }

    private void line(Part part, Line line) {
        boolean no = line.keyword().equals("no") && line.words().size() > 1;
        Line asked = no ? new Line(line.file(), line.number(), line.words().subList(1, line.words().size())) : line;
        switch (asked.keyword()) {
            case "bind" -> bind(part, line);
            case "default_backend" -> defaultBackend(part, line);
            case "use_backend" -> useBackend(line);
            case "timeout" -> timeout(line);
            case "maxconn" -> maxconn(part, line);
            case "retries" -> whole(line, "retries", DISPATCHES_MOST - 1, "a further dispatch only where the rules call it harmless");
            case "balance" -> report.add(line, Fate.DIFFERS,
                "hosts are chosen by the warm search, then by the function's walk, whatever the balance");
            case "mode" -> report.add(line, line.word(1).matches("http|tcp|log|haterm|spop") ? Fate.DIFFERS : Fate.UNKNOWN,
                line.word(1).matches("http|tcp|log|haterm|spop") ? "clients and hosts speak JSON-RPC lines"
                    : "write mode http or tcp");
            case "option" -> option(line, asked);
            default -> {
                String why = Keywords.dropped(asked.keyword());
                report.add(line, why == null ? Fate.UNKNOWN : Fate.DROPPED, why == null ? "no keyword of the manual" : why);
            }
        }
    }

    private void option(Line line, Line asked) {
        String option = asked.word(1);
        if (option.equals("redispatch")) {
            report.add(line, Fate.DIFFERS, "every further dispatch of an invocation goes to another host");
            return;
        }
        String why = Keywords.droppedOption(option);
        report.add(line, why == null ? Fate.UNKNOWN : Fate.DROPPED, why == null ? "no option of the manual" : why);
    }

    private void timeout(Line line) {
        String which = line.word(1);
        if (!Keywords.TIMEOUTS.contains(which)) {
            report.add(line, Fate.UNKNOWN, "no wait of the manual");
        } else if (Times.read(line.word(2)) == null) {
            report.add(line, Fate.UNKNOWN, "'" + line.word(2) + "' is no span of time");
        } else {
            switch (which) {
                case "connect" -> report.add(line, Fate.MAPPED, "");
                case "server" -> report.add(line, Fate.DIFFERS, "the client timeout: it runs from the taking, all dispatches and holding included");
                case "queue" -> report.add(line, Fate.DROPPED, "how long an invocation is held the decisions say, by its latency objective");
                default -> report.add(line, Fate.DROPPED, Keywords.droppedTimeout());
            }
        }
    }

    private void whole(Line line, String what, int most, String differs) {
        if (line.word(1).matches("\\d{1,9}")) {
            boolean more = Integer.parseInt(line.word(1)) > most;
            report.add(line, Fate.DIFFERS, differs + (more ? "; at most " + most : ""));
        } else {
            report.add(line, Fate.UNKNOWN, "'" + what + " " + line.word(1) + "' should be a whole number");
        }
    }

    private void maxconn(Part part, Line line) {
        if (!line.word(1).matches("\\d{1,7}") || Integer.parseInt(line.word(1)) < 1 || Integer.parseInt(line.word(1)) > 1_000_000) {
            report.add(line, Fate.UNKNOWN, "'maxconn " + line.word(1) + "' should be a whole number from 1 to 1000000");
        } else if (part.is("backend")) {
            report.add(line, Fate.UNKNOWN, "maxconn stands in global, defaults, frontend and listen sections");
        } else {
            report.add(line, Fate.DIFFERS, "bounds the client connections of each gateway, the least that holds for it");
        }
    }

    private void bind(Part part, Line line) {
        if (!part.is("frontend") && !part.is("listen")) {
            report.add(line, Fate.UNKNOWN, "bind stands in frontend and listen sections");
            return;
        }
        List<String> addresses = line.word(1).isEmpty() ? null : Addresses.all(line.word(1));
        List<String> rest = line.words().size() > 2 ? line.words().subList(2, line.words().size()) : List.of();
        if (addresses == null) {
            report.add(line, line.word(1).isEmpty() ? Fate.UNKNOWN : Fate.DROPPED,
                "'" + line.word(1) + "': addresses must be in figures with a port, or unix@/path");
            return;
        }
        if (rest.contains("ssl") || rest.contains("quic")) {
            report.add(line, Fate.DROPPED, "no TLS is spoken here");
            return;
        }
        String pool = target(part);
        if (pool == null) {
            report.add(line, Fate.DROPPED, "no backend stands behind it by default");
            return;
        }
        fronts.computeIfAbsent(pool, any -> new ArrayList<>()).addAll(addresses);
        int most = connectionsOf(part);
        if (most > 0) {
            connections.merge(pool, most, Math::min);
        }
        report.add(line, rest.isEmpty() ? Fate.MAPPED : Fate.DIFFERS,
            rest.isEmpty() ? "" : "without '" + String.join(" ", rest) + "', which has no meaning here");
    }

    /** The pool that a frontend leads to by default; null for none. */
    private String target(Part part) {
        Line by = part.last("default_backend", null);
        if (by != null && pools.containsKey(by.word(1))) {
            return by.word(1);
        }
        return part.is("listen") ? part.name() : null;
    }

    private int connectionsOf(Part part) {
        Line line = part.last("maxconn", null);
        if (line == null) {
            line = source.parts().stream().filter(each -> each.is("global")).map(each -> each.last("maxconn", null))
                .filter(each -> each != null).findFirst().orElse(null);
        }
        return line != null && line.word(1).matches("\\d{1,7}") ? Math.min(1_000_000, Integer.parseInt(line.word(1))) : 0;
    }

    private void defaultBackend(Part part, Line line) {
        if (!pools.containsKey(line.word(1))) {
            report.add(line, Fate.UNKNOWN, "there is no backend '" + line.word(1) + "'");
        } else if (part.is("backend")) {
            report.add(line, Fate.UNKNOWN, "default_backend stands in defaults, frontend and listen sections");
        } else {
            report.add(line, Fate.MAPPED, "");
        }
    }

    private void useBackend(Line line) {
        String pool = line.word(1);
        if (!pools.containsKey(pool)) {
            report.add(line, pool.contains("%[") ? Fate.DROPPED : Fate.UNKNOWN,
                pool.contains("%[") ? "there are no routes here: clients choose a gateway" : "there is no backend '" + pool + "'");
        } else {
            report.add(line, Fate.DIFFERS, "there are no routes here: '" + pool + "' is a gateway of its own, which clients choose by its address");
        }
    }

    // ---- the files ----

    private String yaml(String pool, Part part, List<Server> some) {
        Set<String> listen = new LinkedHashSet<>(fronts.getOrDefault(pool, List.of()));
        if (listen.isEmpty()) {
            String socket = "unix:" + sockets + "/" + file(pool).replace(".yaml", ".sock");
            listen.add(socket);
            report.assume("'" + pool + "' listens at " + socket + ": no frontend leads to it by default");
        }
        Line server = part.last("timeout", "server");
        Span timeout = server == null ? null : Times.read(server.word(2));
        if (timeout == null || timeout.micros() < 1 || timeout.isLongerThan(TIMEOUT_MOST)) {
            timeout = timeout != null && timeout.isLongerThan(TIMEOUT_MOST) ? TIMEOUT_MOST : TIMEOUT;
            report.assume("'" + pool + "': client timeout " + Times.ours(timeout));
        }
        Span objective = timeout.times(0.25);
        objective = objective.micros() < 1 ? new Span(1) : objective;
        report.assume("'" + pool + "': one trigger type 'call', non-idempotent, latency objective " + Times.ours(objective)
            + " (a quarter of the client timeout), billed value 1");
        StringBuilder text = new StringBuilder("# From ").append(part.head().where()).append(", ").append(part.kind()).append(' ')
            .append(pool.replaceAll("[^ -~]", "?")).append('\n');
        text.append("listen: [").append(String.join(", ", listen.stream().map(Importer::quoted).toList())).append("]\n");
        text.append("gateway: {name: ").append(quoted(file(pool).replace(".yaml", ""))).append(", index: 0, of: 1}\n");
        text.append("triggerTypes:\n  - {name: call, latencyObjective: ").append(Times.ours(objective)).append(", clientTimeout: ")
            .append(Times.ours(timeout)).append(", billedValue: 1, effect: non-idempotent}\n");
        hosts(text, some);
        some.stream().filter(each -> each.slowstart != null && each.slowstart.micros() > 0).map(each -> each.slowstart)
            .max(Comparator.naturalOrder()).ifPresent(longest -> text.append("rules: {warmAfter: ")
                .append(Times.ours(Span.shorter(longest, Span.ofMillis(3_600_000)))).append("}\n"));
        Line retries = part.last("retries", null);
        if (retries != null && retries.word(1).matches("\\d{1,9}")) {
            text.append("workers: {dispatches: ").append(1 + Math.min(DISPATCHES_MOST - 1, Integer.parseInt(retries.word(1))))
                .append("}\n");
        }
        bounds(text, pool, part, some);
        return text.toString();
    }

    private void hosts(StringBuilder text, List<Server> some) {
        text.append("hosts:\n");
        for (Server each : some) {
            boolean takes = !each.backup && !each.disabled && each.weight > 0;
            text.append("  - {name: ").append(quoted(each.name)).append(", address: ").append(quoted(each.address));
            if (each.weighted) {
                text.append(", weight: ").append((long) each.weight);
            }
            text.append(takes ? "" : ", state: draining").append("}\n");
        }
    }

    private void bounds(StringBuilder text, String pool, Part part, List<Server> some) {
        Set<String> bounds = new TreeSet<>();
        Line connect = part.last("timeout", "connect");
        Span dial = connect == null ? null : Times.read(connect.word(2));
        if (dial != null && dial.micros() > 0) {
            bounds.add("dialTime: " + Times.ours(Span.shorter(dial, Span.ofMillis(3_600_000))));
        }
        some.stream().filter(each -> each.maxconn > 0).mapToInt(each -> Math.min(1_000_000, each.maxconn)).min()
            .ifPresent(least -> bounds.add("hostInFlight: " + least));
        if (connections.containsKey(pool)) {
            bounds.add("connections: " + connections.get(pool));
        }
        if (!bounds.isEmpty()) {
            text.append("bounds: {").append(String.join(", ", bounds)).append("}\n");
        }
    }

    /** As JSON writes a string, which YAML reads alike. */
    private static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                quoted.append(String.format("\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
