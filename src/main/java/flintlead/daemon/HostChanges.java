package flintlead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.change.Caution;
import flintlead.change.Changes;
import flintlead.change.Check;
import flintlead.change.Difference;
import flintlead.change.Journal;
import flintlead.change.Reading;
import flintlead.change.Route;
import flintlead.change.Version;
import flintlead.gateway.Counts;
import flintlead.gateway.Taker;
import flintlead.link.HostSpec;
import flintlead.loop.Address;
import flintlead.port.HostEntry;
import flintlead.snapshot.Disk;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Changes of a running gateway's host list, on its loop. */
final class HostChanges implements Changes.Gateway {

    private static final String RECORD = "hosts.change";
    /** Hosts asked at a look whether they live. */
    private static final int ASKED_MOST = 64;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Taker taker;
    private final Caution caution;
    private final Consumer<String> say;
    private final Changes changes;
    private final Map<String, HostSpec> specs = new LinkedHashMap<>();
    private Runnable alarm;

    /**
     * @param kept what the process before left; null for nothing
     * @param counts of the gateway, at once
     * @param disk where the record is kept; null for nowhere: then a restart begins with the file
     */
    HostChanges(Taker taker, Version file, Journal.Record kept, Caution caution, Supplier<Counts> counts, Disk disk,
                Executor writer, Consumer<String> say) {
        this.taker = taker;
        this.caution = caution;
        this.say = say;
        this.changes = new Changes(Changes.recovered(kept, file), caution, journal(disk, writer), this, () -> reading(counts.get()));
        list(changes.now());
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

    static Version version(List<HostSpec> hosts) {
        return new Version(hosts.stream().map(spec -> new Version.Line(spec.name(),
            spec.addresses().stream().map(Address::toString).toList(), spec.zone(), spec.cell(), spec.kind(), spec.weight(),
            spec.state() != HostEntry.State.READY)).toList());
    }

    private static HostSpec spec(Version.Line line) {
        return new HostSpec(line.name(), line.addresses().stream().map(Address::parse).toList(), line.zone(), line.cell(),
            line.kind(), line.drains() ? HostEntry.State.DRAINING : HostEntry.State.READY, new Moment(0), line.weight());
    }

    private Reading reading(Counts counts) {
        boolean lives = false;
        int asked = 0;
        Moment since = taker.loop().now().minus(caution.dead());
        for (HostSpec each : specs.values()) {
            if (each.state() == HostEntry.State.READY) {
                Moment heard = taker.heardAt(each.name());
                lives |= heard != null && heard.isAfter(since);
                if (asked++ < ASKED_MOST) {
                    taker.ask(each.name());
                }
            }
        }
        return new Reading(counts.succeeded(), counts.throttled() + counts.errored(), lives);
    }

    @Override
    public void list(Version version) {
        specs.clear();
        version.lines().forEach((name, line) -> specs.put(name, spec(line)));
        taker.hosts(List.copyOf(specs.values()));
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
        List<HostSpec> hosts;
        try {
            hosts = Installation.hostsOf("change", text);
        } catch (YamlException e) {
            throw new IllegalArgumentException(String.join("; ", e.faults()));
        }
        return version(hosts);
    }

    /** What a change would do; nothing is done. */
    byte[] plan(String text) {
        Version to = wanted(text);
        Version from = changes.good();
        List<Version> steps = Route.steps(from, to, caution);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("from", from.id());
        answer.put("to", to.id());
        answer.put("faults", Check.of(from, to));
        answer.put("difference", Difference.of(from, to));
        answer.put("steps", steps.stream().map(Version::id).toList());
        answer.put("worstStep", Route.worst(from, steps));
        answer.put("atOnce", Route.worst(from, List.of(to)));
        answer.put("takesMs", Math.max(0, steps.size() - 1) * caution.settle().micros() / 1000 + caution.watch().micros() / 1000);
        return json(answer);
    }

    byte[] apply(String text) {
        Version to = wanted(text);
        List<String> faults = changes.apply(to, taker.loop().now());
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", faults));
        }
        return status();
    }

    byte[] undo() {
        if (!changes.undo("by the operator's word")) {
            throw new IllegalArgumentException("there is nothing to undo; the last change: " + changes.last());
        }
        return status();
    }

    byte[] status() {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("stage", changes.stage().name().toLowerCase(Locale.ROOT));
        answer.put("now", changes.now().id());
        answer.put("good", changes.good().id());
        answer.put("step", changes.step());
        answer.put("steps", changes.steps());
        answer.put("last", changes.last());
        List<String> hosts = new ArrayList<>();
        changes.now().lines().values().forEach(line -> hosts.add(line.name() + (line.drains() ? " (drains)" : "")));
        answer.put("hosts", hosts);
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
