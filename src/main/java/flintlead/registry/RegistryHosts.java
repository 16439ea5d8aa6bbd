package flintlead.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.hosts.HostBook;
import flintlead.hosts.HostLine;
import flintlead.link.HostSpec;
import flintlead.loop.Address;
import flintlead.loop.Loop;
import flintlead.loop.Transport;
import flintlead.port.HostEntry;
import flintlead.snapshot.Snapshot;
import flintlead.snapshot.SnapshotFile;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.watch.Change;
import flintlead.watch.Comeback;
import flintlead.watch.Follower;
import flintlead.watch.Following;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The host list of a gateway, followed in a registry. Lives on the gateway's loop. */
public final class RegistryHosts implements Following {

    private static final int VALUE_MOST = 64 << 10;
    private static final Span LOOK = Span.ofMillis(1_000);
    /** Changes come in bursts; the disk is asked once for each burst. */
    private static final Span WRITE_AFTER = Span.ofMillis(200);
    /** A start longer ago than this is the distant past: no warm-up lasts so long. */
    private static final long LONG_AGO_MS = 3_600_000;

    /** What the gateway does for it, and what it is told. */
    public interface Gateway {

        /** When the host last answered; null where it never did. */
        Moment heardAt(String host);

        /** Asks the host whether it lives; {@link #heardAt} tells. */
        void ask(String host);

        /** The hosts now. */
        void hosts(List<HostSpec> list);

        void say(String words);
    }

    /** Hears of everything that is applied; for those who print or check it. */
    public interface Witness {
        void applied(String cluster, long revision, List<Change> changes);

        void replaced(String cluster, long revision, Map<String, String> all, String why);
    }

    private final Loop loop;
    private final RegistryTerms terms;
    private final LongSupplier epochMs;
    private final Gateway gateway;
    private final Witness witness;
    private final SnapshotFile file;
    private final Executor disk;
    private final Follower follower;
    private final Source source;
    private final HostBook book;
    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, String> raw = new TreeMap<>();
    private final Map<String, Moment> starts = new HashMap<>();
    private boolean writing;
    private boolean dirty;
    private boolean closed;

    /**
     * @param epochMs the wall clock
     * @param file where the last good list is kept; null for nowhere
     * @param disk what writes it, beside the loop
     * @param witness may be null
     */
    public RegistryHosts(Loop loop, Transport transport, RegistryTerms terms, Random random, LongSupplier epochMs,
                         SnapshotFile file, Executor disk, Gateway gateway, Witness witness) {
        this.loop = loop;
        this.terms = terms;
        this.epochMs = epochMs;
        this.file = file;
        this.disk = disk;
        this.gateway = gateway;
        this.witness = witness;
        this.follower = new Follower(this, new Comeback(random));
        int first = random.nextInt(terms.endpoints().size());
        this.source = terms.protocol() == RegistryTerms.Protocol.ETCD
            ? new EtcdSource(loop, transport, terms, follower, first)
            : new ConsulSource(loop, transport, terms, follower, first);
        this.book = new HostBook(gateway::say, gateway::heardAt);
    }

    /** Begins, with the snapshot if there is a good one. On the loop. */
    public void begin() {
        Snapshot snapshot = file == null ? null : file.read(terms.source(), epochMs.getAsLong());
        if (snapshot == null) {
            follower.begin(loop.now());
        } else {
            gateway.say("begins with the snapshot of revision " + snapshot.revision() + ", "
                + (epochMs.getAsLong() - snapshot.epochMs()) / 1000 + " s old, " + snapshot.keys().size() + " hosts");
            raw.putAll(snapshot.keys());
            book.replaced(read(snapshot.keys()), loop.now());
            tell();
            follower.resume(snapshot.cluster(), snapshot.revision(), snapshot.keys(), loop.now());
        }
        look();
    }

    /** Follows no more; what was told last stays. */
    public void close() {
        closed = true;
        source.drop();
    }

    public long revision() {
        return follower.applied();
    }

    public long requests() {
        return source.requests;
    }

    public long bytes() {
        return source.bytes;
    }

    private void look() {
        if (closed) {
            return;
        }
        book.doubted().forEach(gateway::ask);
        if (book.look(loop.now())) {
            tell();
        }
        loop.after(LOOK, this::look);
    }

    // ---- what the follower asks ----

    @Override
    public void read(long attempt, String after, long revision) {
        if (!closed) {
            source.read(attempt, after, revision);
        }
    }

    @Override
    public void watch(long attempt, long from) {
        if (!closed) {
            source.watch(attempt, from);
        }
    }

    @Override
    public void drop(long attempt) {
        source.drop();
    }

    @Override
    public void wakeAt(Moment when) {
        loop.at(when, () -> follower.wake(loop.now()));
    }

    @Override
    public void say(String words) {
        gateway.say("registry: " + words);
    }

    @Override
    public void apply(long revision, List<Change> changes) {
        if (witness != null) {
            witness.applied(follower.cluster(), revision, changes);
        }
        Map<String, HostLine> lines = new TreeMap<>();
        for (Change change : changes) {
            if (change.value() == null) {
                raw.remove(change.key());
                lines.put(change.key(), null);
            } else {
                raw.put(change.key(), change.value());
                HostLine line = line(change.key(), change.value());
                if (line != null) {
                    lines.put(change.key(), line);
                }
            }
        }
        if (book.changed(lines, loop.now())) {
            tell();
        }
        write();
    }

    @Override
    public void replace(String cluster, long revision, Map<String, String> all, String why) {
        if (witness != null) {
            witness.replaced(cluster, revision, all, why);
        }
        raw.clear();
        raw.putAll(all);
        book.replaced(read(all), loop.now());
        tell();
        write();
    }

    private Map<String, HostLine> read(Map<String, String> all) {
        Map<String, HostLine> lines = new TreeMap<>();
        all.forEach((key, value) -> {
            HostLine line = line(key, value);
            if (line != null) {
                lines.put(key, line);
            }
        });
        return lines;
    }

    /** The host that the value describes; null, and said, where it describes none. */
    private HostLine line(String key, String value) {
        String name = key.substring(terms.prefix().length());
        try {
            if (value.length() > VALUE_MOST) {
                throw new IllegalArgumentException("over " + VALUE_MOST + " characters");
            }
            JsonNode node = json.readTree(value);
            if (!node.isObject() || name.isEmpty()) {
                throw new IllegalArgumentException("not an object, or no name in the key");
            }
            List<String> addresses = new ArrayList<>();
            if (node.has("addresses")) {
                node.path("addresses").forEach(each -> addresses.add(each.asText()));
            } else {
                addresses.add(node.path("address").asText());
            }
            HostSpec.ready(name, addresses.stream().map(Address::parse).toArray(Address[]::new));
            HostEntry.State state = HostEntry.State.valueOf(node.path("state").asText("ready").toUpperCase(Locale.ROOT));
            return new HostLine(name, List.copyOf(addresses), number(node, "zone"), number(node, "cell"),
                number(node, "kind"), state, node.path("startedEpochMs").asLong(0), node.path("weight").asDouble(1));
        } catch (IOException | IllegalArgumentException e) {
            String why = e.getMessage() == null ? e.toString() : e.getMessage();
            book.unreadable(key, why.lines().findFirst().orElse(""));
            return null;
        }
    }

    private static int number(JsonNode node, String name) {
        int number = node.path(name).asInt(0);
        if (number < 0 || number > 65_535) {
            throw new IllegalArgumentException("'" + name + "' must lie from 0 to 65535");
        }
        return number;
    }

    private void tell() {
        List<HostSpec> specs = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (HostLine line : book.hosts()) {
            specs.add(new HostSpec(line.name(), line.addresses().stream().map(Address::parse).toList(),
                line.zone(), line.cell(), line.kind(),
                line.state(), started(line, seen), line.weight()));
        }
        starts.keySet().retainAll(seen);
        gateway.hosts(specs);
    }

    /** The same start is always the same moment: one that moved with each list would look like a new start. */
    private Moment started(HostLine line, Set<String> seen) {
        long age = epochMs.getAsLong() - line.startedEpochMs();
        if (line.startedEpochMs() <= 0 || age > LONG_AGO_MS) {
            return new Moment(0);
        }
        String start = line.name() + " " + line.startedEpochMs();
        seen.add(start);
        return starts.computeIfAbsent(start, any -> loop.now().minus(Span.ofMillis(Math.max(0, age))));
    }

    private void write() {
        dirty = true;
        if (file == null || writing) {
            return;
        }
        writing = true;
        loop.after(WRITE_AFTER, () -> {
            dirty = false;
            Snapshot snapshot = new Snapshot(terms.source(), follower.cluster(), follower.applied(), epochMs.getAsLong(),
                new TreeMap<>(raw));
            // A slow disk must not hold up invocations.
            disk.execute(() -> {
                file.write(snapshot);
                loop.execute(() -> {
                    writing = false;
                    if (dirty && !closed) {
                        write();
                    }
                });
            });
        });
    }

    /** Tells words on to where they belong; for gateways that are put together from functions. */
    public static Gateway gateway(Function<String, Moment> heardAt, Consumer<String> ask, Consumer<List<HostSpec>> hosts,
                                  Consumer<String> say) {
        return new Gateway() {
            @Override
            public Moment heardAt(String host) {
                return heardAt.apply(host);
            }

            @Override
            public void ask(String host) {
                ask.accept(host);
            }

            @Override
            public void hosts(List<HostSpec> list) {
                hosts.accept(list);
            }

            @Override
            public void say(String words) {
                say.accept(words);
            }
        };
    }
}
