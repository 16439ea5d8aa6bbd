package flintlead.daemon;

import flintlead.admission.Intake;
import flintlead.change.Caution;
import flintlead.front.FrontBounds;
import flintlead.gateway.Terms;
import flintlead.ids.Ids;
import flintlead.link.HostSpec;
import flintlead.link.LinkBounds;
import flintlead.loop.Address;
import flintlead.pool.Layout;
import flintlead.port.HostEntry;
import flintlead.member.Rhythm;
import flintlead.member.Seal;
import flintlead.peers.PeerTerms;
import flintlead.registry.RegistryTerms;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.yaml.Faults;
import flintlead.yaml.LayoutReader;
import flintlead.yaml.Section;
import flintlead.yaml.TermsReader;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a daemon's file says: the terms, the hosts, where clients come in, the bounds, and how long a stop may take.
 *
 * @param hosts the static list; empty where they come from a registry
 * @param layout pools and the routes to them
 * @param registry where the hosts come from; null for the static list
 * @param snapshots the folder that the last good list is kept in; null for nowhere
 * @param peers how it keeps company with other gateways; null for alone
 * @param sights the folder in which it keeps what it sees itself, for its next process; null for nowhere
 * @param keyFiles of the letters between gateways, read again in service
 * @param control where an operator changes the hosts in service; null for nowhere
 * @param records the folder in which a change is written down before it is begun; null for nowhere
 * @param listen addresses at which clients come in
 */
public record Installation(Terms terms, List<HostSpec> hosts, Layout layout, RegistryTerms registry, Path snapshots,
                           List<Address> listen, Intake.Bounds intake, FrontBounds front, LinkBounds links,
                           Span stopGrace, PeerTerms peers, List<Path> keyFiles, Address.Unix control, Path records, Caution caution,
                           Path sights) {

    private static final Span SHORTEST = new Span(1);
    private static final Span LONGEST = Span.ofMillis(3_600_000);
    private static final int MANY = 1_000_000;
    private static final double BYTES_MOST = 1L << 40;

    /** @throws YamlException with a line for each fault: file, line, key and fix */
    public static Installation read(Path file) throws IOException, YamlException {
        Faults faults = new Faults(file.toString());
        return read(Section.read(file, faults), faults);
    }

    public static Installation parse(String name, String text) throws YamlException {
        Faults faults = new Faults(name);
        return read(Section.read(text, faults), faults);
    }

    private static Installation read(Section top, Faults faults) throws YamlException {
        Terms terms = TermsReader.read(top, "flintlead", faults);
        boolean fromRegistry = top.isMapping("hosts");
        List<HostSpec> hosts = fromRegistry ? List.of() : hosts(top);
        Layout layout = layout(top, terms, fromRegistry ? null : hosts);
        RegistryTerms registry = null;
        Path snapshots = null;
        if (fromRegistry) {
            Section outer = top.section("hosts");
            Section inner = outer.section("registry");
            registry = registry(inner);
            snapshots = inner.has("snapshots") ? Path.of(inner.text("snapshots", ".")) : null;
            if (snapshots != null && !Files.isDirectory(snapshots)) {
                inner.wrong("snapshots", "'" + snapshots + "' is no folder", "make it, or leave the key out");
            }
            inner.end();
            outer.end();
        }
        List<Address> listen = new ArrayList<>();
        for (String text : top.texts("listen", List.of())) {
            address(top, "listen", text, listen);
        }
        if (listen.isEmpty()) {
            top.wrong("listen", "names no address", "write listen: [\"unix:/run/flintlead.sock\"]");
        }
        Section bounds = top.section("bounds");
        Intake.Bounds intake = intake(bounds);
        FrontBounds front = new FrontBounds(bounds.whole("connections", FrontBounds.USUAL.connections(), 1, MANY),
            bounds.whole("frameBytes", FrontBounds.USUAL.frame(), 64, 1 << 30),
            bounds.span("idleLeast", FrontBounds.USUAL.idleLeast(), Span.ZERO, LONGEST));
        LinkBounds usual = LinkBounds.USUAL;
        LinkBounds links = new LinkBounds(bounds.whole("hostConnections", usual.connections(), 1, 64),
            bounds.whole("allHostConnections", usual.allConnections(), 1, MANY),
            bounds.number("dialsPerSecond", usual.dialsPerSecond(), 0.1, MANY),
            bounds.whole("hostInFlight", usual.inFlight(), 1, MANY),
            bounds.whole("hostWaiting", usual.waiting(), 1, MANY),
            (long) bounds.number("hostUnsentBytes", usual.unsent(), 1, BYTES_MOST),
            bounds.whole("hostFrameBytes", usual.frame(), 64, 1 << 30),
            bounds.span("dialTime", usual.dialTime(), SHORTEST, LONGEST),
            bounds.span("stuckAfter", usual.stuck(), SHORTEST, LONGEST),
            bounds.span("idleAfter", usual.idle(), SHORTEST, LONGEST));
        bounds.end();
        Span grace = top.span("stopGrace", Span.ofMillis(5_000), Span.ZERO, LONGEST);
        List<Path> keyFiles = new ArrayList<>();
        PeerTerms peers = top.has("members") ? peers(top.section("members"), keyFiles) : null;
        Address.Unix control = null;
        Path records = null;
        Caution caution = Caution.USUAL;
        if (top.has("control")) {
            Section from = top.section("control");
            control = control(from);
            if (fromRegistry) {
                from.wrong("listen", "changes a list that the file holds, and hosts come from a registry", "change them there");
            }
            records = from.has("records") ? Path.of(from.text("records", ".")) : null;
            if (records != null && !Files.isDirectory(records)) {
                from.wrong("records", "'" + records + "' is no folder", "make it, or leave the key out");
            }
            caution = caution(from);
            from.end();
        }
        Path sights = top.has("sights") ? Path.of(top.text("sights", ".")) : null;
        if (sights != null && !Files.isDirectory(sights)) {
            top.wrong("sights", "'" + sights + "' is no folder", "make it, or leave the key out");
        }
        top.end();
        faults.throwIfAny();
        return new Installation(terms, hosts, layout, registry, snapshots, listen, intake, front, links, grace, peers, keyFiles, control,
            records, caution, sights);
    }

    private static Address.Unix control(Section from) {
        String text = from.text("listen", null);
        try {
            if (text != null && Address.parse(text) instanceof Address.Unix unix) {
                return unix;
            }
        } catch (IllegalArgumentException e) {
            // Told below: whatever it is, it is no socket of the owner's.
        }
        from.wrong("listen", "'" + text + "' is no Unix socket", "write unix:/run/flintlead-control.sock");
        return null;
    }

    private static Caution caution(Section from) {
        Caution usual = Caution.USUAL;
        return new Caution(from.number("step", usual.step(), 0.001, 1), from.span("settle", usual.settle(), Span.ZERO, LONGEST),
            from.span("watch", usual.watch(), Span.ZERO, LONGEST), from.span("dead", usual.dead(), Span.ofMillis(20), LONGEST),
            from.number("worse", usual.worse(), 0, 1), from.whole("least", usual.least(), 1, MANY),
            from.number("certainty", usual.certainty(), 0, 100));
    }

    /** What of a gateway can be changed in service. */
    record Changeable(List<HostSpec> hosts, Layout layout) { }

    /**
     * The hosts, pools and routes of a text that may say other things as well, which are not looked at.
     *
     * @param layout stays where the text has neither pools nor routes
     */
    static Changeable changeable(String name, String text, Terms terms, Layout layout) throws YamlException {
        Faults faults = new Faults(name);
        Section top = Section.read(text, faults);
        List<HostSpec> hosts = hosts(top);
        boolean says = top.has("pools") || top.has("routes");
        Layout own = layout(top, terms, null);
        faults.throwIfAny();
        return new Changeable(hosts, says ? own : layout);
    }

    /** @param hosts where they are known beforehand; null where they are not */
    private static Layout layout(Section top, Terms terms, List<HostSpec> hosts) {
        LayoutReader.Read read = LayoutReader.read(top);
        Layout layout = read.layout();
        if (layout == null) {
            return Layout.NONE;
        }
        List<String> wrong = new ArrayList<>(layout.unknown(
            Set.copyOf(terms.triggerTypes().stream().map(Terms.Trigger::name).toList()),
            Set.copyOf(terms.customers().stream().map(Terms.Customer::name).toList())));
        if (hosts != null && !hosts.isEmpty()) {
            wrong.addAll(layout.faults(hosts.stream().map(spec -> new Layout.Standing(spec.name(), spec.zone(), spec.kind(),
                spec.state() == HostEntry.State.READY)).toList()));
        }
        wrong.forEach(read::wrong);
        return layout;
    }

    /** The company of other gateways; faults are collected. */
    private static PeerTerms peers(Section from, List<Path> keyFiles) {
        Address.Udp at = udp(from, "listen", from.text("listen", null), new Address.Udp("127.0.0.1", 1));
        Address.Udp told = from.has("told") ? udp(from, "told", from.text("told", null), null) : null;
        List<Address.Udp> seeds = new ArrayList<>();
        for (String text : from.texts("seeds", List.of())) {
            seeds.add(udp(from, "seeds", text, at));
        }
        for (String text : from.texts("keyFiles", List.of())) {
            keyFiles.add(Path.of(text));
        }
        List<byte[]> keys = List.of();
        try {
            keys = keys(keyFiles);
        } catch (IOException e) {
            from.wrong("keyFiles", e.getMessage(), "write a file with at least " + Seal.KEY_LEAST + " bytes by chance, the same for all gateways");
        }
        PeerTerms usual = PeerTerms.usual(at, seeds);
        Rhythm rhythm = new Rhythm(from.span("period", usual.rhythm().period(), Span.ofMillis(10), LONGEST),
            from.span("answerTime", usual.rhythm().answerTime(), Span.ofMillis(1), LONGEST), usual.rhythm().helpers(),
            usual.rhythm().suspicion(), usual.rhythm().suspicionMost(), usual.rhythm().tells(),
            from.whole("most", usual.rhythm().membersMost(), 2, 65_535));
        if (!rhythm.answerTime().times(2).isShorterThan(rhythm.period())) {
            from.wrong("answerTime", "leaves no time in a period to ask others", "make it less than half of the period");
        }
        PeerTerms terms = new PeerTerms(at, told, seeds, keys, rhythm, from.flag("learn", usual.learns()),
            from.span("freshFor", usual.freshFor(), Span.ZERO, LONGEST), usual.ration(), usual.patience());
        from.end();
        return terms;
    }

    private static Address.Udp udp(Section from, String key, String text, Address.Udp otherwise) {
        try {
            return text == null ? otherwise : Address.Udp.parse(text);
        } catch (IllegalArgumentException e) {
            from.wrong(key, e.getMessage(), "write udp:127.0.0.1:7001");
            return otherwise;
        }
    }

    /** @throws IOException also for a key that is too short, with the file's name */
    static List<byte[]> keys(List<Path> files) throws IOException {
        List<byte[]> keys = new ArrayList<>();
        for (Path file : files) {
            if (!Files.isRegularFile(file)) {
                throw new IOException(file + ": no such file");
            }
            byte[] key = Files.readString(file, StandardCharsets.ISO_8859_1).strip().getBytes(StandardCharsets.ISO_8859_1);
            if (key.length < Seal.KEY_LEAST) {
                throw new IOException(file + " holds " + key.length + " bytes, too few for a key");
            }
            keys.add(key);
        }
        return keys;
    }

    /** Where a registry is; faults are collected. */
    private static RegistryTerms registry(Section from) {
        List<Address> endpoints = new ArrayList<>();
        for (String text : from.texts("endpoints", List.of())) {
            address(from, "endpoints", text, endpoints);
        }
        if (endpoints.isEmpty()) {
            from.wrong("endpoints", "names no address", "write endpoints: [\"tcp:127.0.0.1:2379\"]");
            endpoints.add(new Address.Tcp("127.0.0.1", 1));
        }
        RegistryTerms usual = RegistryTerms.usual(RegistryTerms.Protocol.ETCD, endpoints, "flintlead/hosts/");
        return new RegistryTerms(from.oneOf("protocol", usual.protocol()), endpoints, from.text("prefix", usual.prefix()),
            from.whole("page", usual.page(), 1, 10_000), from.span("answerTime", usual.answerTime(), SHORTEST, LONGEST),
            from.span("quiet", usual.quiet(), Span.ofMillis(100), LONGEST));
    }

    private static Intake.Bounds intake(Section from) {
        Intake.Bounds usual = Intake.Bounds.USUAL;
        long unsent = (long) from.number("unsentBytes", usual.unsent(), 1, BYTES_MOST);
        long unsentMost = (long) from.number("unsentMostBytes", Math.max(unsent, usual.unsentMost()), 1, BYTES_MOST);
        if (unsentMost < unsent) {
            from.wrong("unsentMostBytes", "is below unsentBytes", "make it at least " + unsent);
            unsentMost = unsent;
        }
        return new Intake.Bounds(from.whole("taken", usual.taken(), 1, MANY),
            (long) from.number("takenBytes", usual.bytes(), 1, BYTES_MOST), from.number("share", usual.share(), 0.01, 1e6),
            from.whole("window", usual.window(), 1, MANY),
            (long) from.number("windowBytes", usual.windowBytes(), 1, BYTES_MOST), unsent, unsentMost,
            from.span("patience", usual.patience(), SHORTEST, LONGEST));
    }

    /** An address, or a name of the file's own with a port: each of its addresses. No DNS server is asked. */
    private static void named(Section from, String key, String text, Map<String, List<String>> known,
                              List<Address> into) {
        int colon = text.lastIndexOf(':');
        List<String> figures = text.startsWith("tcp:") && colon > 4 ? known.get(text.substring(4, colon)) : null;
        if (figures == null) {
            address(from, key, text, into);
            return;
        }
        for (String figure : figures) {
            address(from, key, "tcp:" + (figure.contains(":") ? "[" + figure + "]" : figure) + text.substring(colon), into);
        }
    }

    private static List<HostSpec> hosts(Section top) {
        Map<String, List<String>> known = new HashMap<>();
        for (Section each : top.list("names")) {
            known.put(each.text("name", null), each.texts("addresses", List.of()));
            each.end();
        }
        List<HostSpec> hosts = new ArrayList<>();
        Map<Long, String> names = new HashMap<>();
        for (Section each : top.list("hosts")) {
            String name = each.text("name", null);
            List<Address> address = new ArrayList<>();
            boolean many = each.has("addresses");
            for (String text : many ? each.texts("addresses", List.of()) : List.of(each.text("address", null))) {
                named(each, many ? "addresses" : "address", text, known, address);
            }
            if (address.isEmpty() || address.size() > HostSpec.ADDRESSES_MOST || Set.copyOf(address).size() < address.size()) {
                each.wrong(many ? "addresses" : "address", "names no address, too many, or one twice",
                    "name 1 to " + HostSpec.ADDRESSES_MOST + ", each once");
                address = List.of(new Address.Tcp("127.0.0.1", 1));
            }
            HostSpec spec = new HostSpec(name, address,
                each.whole("zone", 0, 0, 65_535), each.whole("cell", 0, 0, 65_535), each.whole("kind", 0, 0, 255),
                each.oneOf("state", HostEntry.State.READY), new Moment(0), each.number("weight", 1, 0, 1e6));
            each.end();
            String other = names.put(Ids.host(name), name);
            if (other != null) {
                each.wrong("name", "'" + name + "' " + (other.equals(name) ? "stands twice"
                    : "has the same number as '" + other + "'"), "rename one of them");
            }
            hosts.add(spec);
        }
        return hosts;
    }

    private static void address(Section from, String key, String text, List<Address> into) {
        if (!text.isEmpty()) {
            try {
                into.add(Address.parse(text));
            } catch (IllegalArgumentException e) {
                from.wrong(key, e.getMessage(), "write unix:/path or tcp:127.0.0.1:4001");
            }
        }
    }
}
