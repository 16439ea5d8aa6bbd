package flintlead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.change.Caution;
import flintlead.change.Changes;
import flintlead.change.Check;
import flintlead.change.Difference;
import flintlead.change.Journal;
import flintlead.change.Reading;
import flintlead.change.Steps;
import flintlead.change.Version;
import flintlead.gateway.Counts;
import flintlead.gateway.Taker;
import flintlead.gateway.Terms;
import flintlead.link.HostSpec;
import flintlead.loop.Address;
import flintlead.pool.Layout;
import flintlead.pool.Pool;
import flintlead.pool.Route;
import flintlead.pool.Sight;
import flintlead.port.HostEntry;
import flintlead.snapshot.Disk;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Changes of a running gateway's hosts, pools and routes, on its loop. */
final class HostChanges implements Changes.Gateway {

    private static final String RECORD = "hosts.change";
    /** Hosts asked at a look whether they live. */
    private static final int ASKED_MOST = 64;
    /** Invocations by which a plan says how many are led elsewhere. */
    private static final int SAMPLE = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Taker taker;
    private final Terms terms;
    private final Caution caution;
    private final Consumer<String> say;
    private final Changes changes;
    private final Map<String, HostSpec> specs = new LinkedHashMap<>();
    private static final int FENCED_MOST = 64;
    private final Set<String> fenced = new LinkedHashSet<>();
    private long tried;
    private Layout layout = Layout.NONE;
    private int asked;
    private Runnable alarm;

    /**
     * @param kept what the process before left; null for nothing
     * @param counts of the gateway, at once
     * @param disk where the record is kept; null for nowhere: then a restart begins with the file
     */
    HostChanges(Taker taker, Terms terms, Version file, Journal.Record kept, Caution caution, Supplier<Counts> counts, Disk disk,
                Executor writer, Consumer<String> say) {
        this.taker = taker;
        this.terms = terms;
        this.caution = caution;
        this.say = say;
        this.changes = new Changes(Changes.recovered(kept, file), caution, journal(disk, writer), this, () -> reading(counts.get()));
        list(changes.now()).forEach(say);
    }

    /** @return null where there is no record, or none that can be used; that is said */
    static Journal.Record kept(Disk disk, Consumer<String> say) {
        try {
            byte[] bytes = disk == null ? null : disk.read(RECORD);
            Journal.Record record = bytes == null ? null : Journal.Record.read(new String(bytes, StandardCharsets.UTF_8));
            if (record != null) {
                // All of it must be hosts: one that is none would stop the start when the list is told.
                record.good().lines().values().forEach(HostChanges::spec);
            }
            return record;
        } catch (IOException | IllegalArgumentException e) {
            say.accept("the record of changes can't be used: " + e.getMessage() + "; the file's hosts are taken");
            return null;
        }
    }

    private Journal journal(Disk disk, Executor writer) {
        return (record, then) -> {
            if (disk == null) {
                then.accept(true);
                return;
            }
            byte[] bytes = record.text().getBytes(StandardCharsets.UTF_8);
            writer.execute(() -> {
                boolean written;
                try {
                    disk.replace(RECORD, bytes);
                    written = true;
                } catch (IOException e) {
                    say.accept("the record of changes can't be written: " + e);
                    written = false;
                }
                boolean is = written;
                taker.loop().execute(() -> then.accept(is));
            });
        };
    }

    static Version version(List<HostSpec> hosts, Layout layout) {
        return new Version(hosts.stream().map(spec -> new Version.Line(spec.name(),
            spec.addresses().stream().map(Address::toString).toList(), spec.zone(), spec.cell(), spec.kind(), spec.weight(),
            spec.state() != HostEntry.State.READY)).toList(), layout);
    }

    private static HostSpec spec(Version.Line line) {
        return new HostSpec(line.name(), line.addresses().stream().map(Address::parse).toList(), line.zone(), line.cell(),
            line.kind(), line.drains() ? HostEntry.State.DRAINING : HostEntry.State.READY, new Moment(0), line.weight());
    }

    private Reading reading(Counts counts) {
        boolean lives = false;
        List<HostSpec> ready = specs.values().stream().filter(each -> each.state() == HostEntry.State.READY).toList();
        Moment since = taker.loop().now().minus(caution.dead());
        Set<String> heard = new HashSet<>();
        for (HostSpec each : ready) {
            Moment at = taker.heardAt(each.name());
            if (at != null && at.isAfter(since)) {
                heard.add(each.name());
            }
        }
        for (int i = 0; i < Math.min(ASKED_MOST, ready.size()); i++) {
            // Round by round, so that each of many is asked at last.
            taker.ask(ready.get(asked++ % ready.size()).name());
        }
        return new Reading(counts.succeeded(), counts.throttled() + counts.errored(), !heard.isEmpty(), pools(ready, heard));
    }

    private Map<String, Reading> pools(List<HostSpec> ready, Set<String> heard) {
        Map<String, Reading> pools = new HashMap<>();
        if (layout.equals(Layout.NONE)) {
            return pools;
        }
        Map<String, Sight> sights = new HashMap<>();
        taker.pools().forEach(sight -> sights.put(sight.name(), sight));
        for (String name : layout.used()) {
            Pool pool = layout.pool(name);
            Sight sight = sights.get(name);
            boolean lives = ready.stream().anyMatch(spec -> heard.contains(spec.name()) && pool.hosts().has(spec.name(), spec.zone(), spec.kind()));
            pools.put(name, new Reading(sight == null ? 0 : sight.succeeded(), sight == null ? 0 : sight.failed(), lives));
        }
        return pools;
    }

    @Override
    public List<String> list(Version version) {
        Map<String, HostSpec> next = new LinkedHashMap<>();
        version.lines().forEach((name, line) -> next.put(name, spec(line)));
        List<String> faults = taker.layouts(version.blend(), List.copyOf(next.values()));
        if (faults.isEmpty()) {
            specs.clear();
            specs.putAll(next);
            layout = version.layout();
        }
        return faults;
    }

    @Override
    public void wakeAt(Moment when) {
        if (alarm != null) {
            alarm.run();
        }
        alarm = taker.loop().at(when, () -> {
            alarm = null;
            changes.wake(taker.loop().now());
        });
    }

    @Override
    public void say(String line) {
        say.accept(line);
    }

    // ---- what an operator asks ----

    /** @throws IllegalArgumentException with the faults of a text that is no list of hosts, or may not be tried */
    private Version wanted(String text) {
        try {
            Installation.Changeable to = Installation.changeable("change", text, terms, changes.good().layout());
            return version(to.hosts(), to.layout());
        } catch (YamlException e) {
            throw new IllegalArgumentException(String.join("; ", e.faults()));
        }
    }

    /** What a change would do; nothing is done. */
    byte[] plan(String text) {
        Version to = wanted(text);
        Version from = changes.good();
        List<Version> steps = Steps.of(from, to, caution);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("from", from.id());
        answer.put("to", to.id());
        answer.put("faults", Check.of(from, to));
        answer.put("difference", Difference.of(from, to));
        answer.put("steps", steps.stream().map(Version::id).toList());
        answer.put("worstStep", Steps.worst(from, steps));
        answer.put("atOnce", Steps.worst(from, List.of(to)));
        double[] led = Steps.led(from, to, caution, taker.recent(SAMPLE));
        answer.put("ledElsewhere", led[0]);
        answer.put("ledElsewhereAStep", led[1]);
        answer.put("takesMs", Math.max(0, steps.size() - 1) * caution.settle().micros() / 1000 + caution.watch().micros() / 1000);
        return json(answer);
    }

    /**
     * @param expects the version that must be in force; null for any
     * @param rollout of which this is a part; null for none
     * @throws IllegalArgumentException with what is in the way
     */
    byte[] apply(String text, String expects, String rollout) {
        if (rollout != null && fenced.contains(rollout)) {
            throw new IllegalArgumentException("rollout " + rollout + " goes back: nothing more of it is taken");
        }
        if (expects != null && !expects.equals(changes.good().id())) {
            throw new IllegalArgumentException("version " + changes.good() + " is in force, and " + expects + " was expected");
        }
        Version to = wanted(text);
        List<String> faults = changes.apply(to, taker.loop().now());
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", faults));
        }
        tried++;
        return status();
    }

    /** From now on nothing of that rollout is taken: what is late of it must not undo its undoing. */
    void fence(String rollout) {
        fenced.add(rollout);
        if (fenced.size() > FENCED_MOST) {
            fenced.remove(fenced.iterator().next());
        }
    }

    byte[] undo() {
        if (!changes.undo("by the operator's word")) {
            throw new IllegalArgumentException("there is nothing to undo; the last change: " + changes.last());
        }
        return status();
    }

    /** The version in force as a text that {@link #apply} takes; JSON is YAML too. */
    byte[] show() {
        Version good = changes.good();
        List<Map<String, Object>> hosts = new ArrayList<>();
        good.lines().values().forEach(line -> {
            hosts.add(row("name", line.name(), "addresses", line.addresses(), "zone", line.zone(), "cell", line.cell(), "kind", line.kind(),
                "weight", line.weight(), "state", line.drains() ? "draining" : "ready"));
        });
        List<Map<String, Object>> pools = new ArrayList<>();
        good.layout().pools().forEach(pool -> pools.add(row("name", pool.name(), "hosts", texts(pool.hosts().hosts()), "zones",
            pool.hosts().zones(), "kinds", pool.hosts().kinds(), "least", pool.least(), "most", pool.most(), "spillTo", pool.spillTo())));
        List<Map<String, Object>> routes = new ArrayList<>();
        good.layout().routes().forEach(route -> routes.add(row("functions", texts(route.functions()), "triggerTypes", route.triggerTypes(),
            "customers", route.customers(), "when", texts(route.when()), "by", route.by().name().toLowerCase(Locale.ROOT), "split",
            route.to().stream().map(share -> row("pool", share.pool(), "share", share.part())).toList())));
        return json(row("hosts", hosts, "pools", pools, "routes", routes));
    }

    /** Names and values by turns, in their order. */
    private static Map<String, Object> row(Object... namesAndValues) {
        Map<String, Object> row = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            row.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return row;
    }

    private static List<String> texts(List<?> all) {
        return all.stream().map(Object::toString).toList();
    }

    byte[] status() {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("stage", changes.stage().name().toLowerCase(Locale.ROOT));
        answer.put("now", changes.now().id());
        answer.put("good", changes.good().id());
        answer.put("step", changes.step());
        answer.put("steps", changes.steps());
        answer.put("tried", tried);
        answer.put("last", changes.last());
        Counts counted = taker.counts();
        answer.put("succeeded", counted.succeeded());
        answer.put("failed", counted.throttled() + counted.errored());
        List<String> hosts = new ArrayList<>();
        changes.now().lines().values().forEach(line -> hosts.add(line.name() + (line.drains() ? " (drains)" : "")));
        answer.put("hosts", hosts);
        answer.put("routes", changes.now().layout().routes().stream().map(Route::print).toList());
        answer.put("passedOver", changes.now().blend().share());
        return json(answer);
    }

    private static byte[] json(Map<String, Object> answer) {
        try {
            return JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
