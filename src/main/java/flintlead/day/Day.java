package flintlead.day;

import flintlead.arrivals.Arrivals;
import flintlead.arrivals.Work;
import flintlead.client.Client;
import flintlead.client.Reply;
import flintlead.front.ClientFront;
import flintlead.front.FrontBounds;
import flintlead.gateway.Counts;
import flintlead.gateway.Flintlead;
import flintlead.gateway.Terms;
import flintlead.ids.Ids;
import flintlead.link.HostSpec;
import flintlead.loop.Address;
import flintlead.loop.Place;
import flintlead.peers.OfTaker;
import flintlead.peers.OwnSights;
import flintlead.peers.PeerTerms;
import flintlead.peers.Peers;
import flintlead.pool.Blend;
import flintlead.pool.Layout;
import flintlead.pool.Sight;
import flintlead.port.Decider;
import flintlead.port.HostEntry;
import flintlead.port.TriggerType.Effect;
import flintlead.port.TriggerType.Group;
import flintlead.registry.RegistryHosts;
import flintlead.registry.RegistryTerms;
import flintlead.snapshot.SnapshotFile;
import flintlead.standin.Account;
import flintlead.standin.RegistryStandIn;
import flintlead.standin.Repeats;
import flintlead.standin.StandIn;
import flintlead.standin.Store;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.HdrHistogram.Histogram;
import org.apache.commons.statistics.distribution.DiscreteDistribution;
import org.apache.commons.statistics.distribution.ZipfDistribution;

/** Plays a {@link Plan} on loopback sockets: hosts on one loop, clients on another, each gateway on its own. */
public final class Day {

    private static final String PREFIX = "flintlead/hosts/";
    private static final Span SNAPSHOT_AGE = Span.ofMillis(3_600_000);
    private static final int SEEDS = 3;
    private static final int STOP_STEPS = 200;
    private static final int ACCOUNT_MOST = 10_000_000;
    private static final Span RETRY_AFTER = Span.ofMillis(200);
    /** The longest that a client waits before its next try. */
    private static final Span RETRY_MOST = Span.ofMillis(1_000);
    private static final Span RECONNECT = Span.ofMillis(50);
    private static final Span DRAIN_TIME = Span.ofMillis(1_500);
    private static final Span AWAY = Span.ofMillis(500);
    /** Of those who give up early: the time they have, as a share of the latency objective. */
    private static final double SHORT_TIME = 0.4;

    /** One of the gateways, over its deaths. */
    private final class Site {
        final int index;
        int incarnation;
        String name;
        Place loop;
        Flintlead gateway;
        volatile Peers peers;
        Address front;
        boolean up;
        final List<Wire> wires = new ArrayList<>();

        Site(int index) {
            this.index = index;
        }
    }

    /** One client connection, reopened when it ends. */
    private final class Wire {
        final Site site;
        Client client;
        boolean open;
        /** The one of its clients that reads no answers now; null for none. */
        Client deaf;
        final List<Try> out = new ArrayList<>();

        Wire(Site site) {
            this.site = site;
        }
    }

    private final Plan plan;
    private final long seed;
    private final Random script;
    private final Random traffic;
    private final World whole;
    private final Place world;
    private final Place clients;
    private final Path folder;
    private RegistryStandIn registry;
    private final Account account = new Account(ACCOUNT_MOST);
    private final Store store;
    private final List<StandIn> hosts = new ArrayList<>();
    private final Map<String, HostSpec> list = new TreeMap<>();
    private final List<Site> sites = new ArrayList<>();
    /** What each gateway was last told of each host, so that the account holds changes only. */
    private final Map<String, Map<String, Boolean>> toldLast = new ConcurrentHashMap<>();
    private final List<Told> told = Collections.synchronizedList(new ArrayList<>());
    private final List<Auditor.Stall> stalls = Collections.synchronizedList(new ArrayList<>());
    private final List<Auditor.Delay> delays = new ArrayList<>();
    private final List<Try> tries = new ArrayList<>();
    private final Map<String, Result.TypeResult> types = new LinkedHashMap<>();
    private final Map<String, Histogram> latency = new HashMap<>();
    private final Map<String, Long> counted = new TreeMap<>();
    private final DiscreteDistribution.Sampler popular;
    private final Arrivals arrivals;
    private final Work.Draw work;
    /** Chance that differs with what the gateways do; apart from traffic, so that two programs meet the same traffic. */
    private final Random manners;
    private final Map<String, Place> homes = new HashMap<>();
    private final List<Wire> openWires = new ArrayList<>();
    private final Sights sights = new Sights() {
        @Override
        public StandIn.Sight of(long host, long function) {
            StandIn there = byNumber.get(host);
            String name = functionNames.get(function);
            return there == null || name == null ? null : there.sight(name);
        }
    };
    private final Map<Long, StandIn> byNumber = new HashMap<>();
    private final Map<Long, String> functionNames = new HashMap<>();
    private final Map<Integer, Address.Udp> seedPorts = new ConcurrentSkipListMap<>();
    private Decider decider;
    private Chronicle chronicle;
    /** How far the pools have passed from one layout into the other: what a gateway that comes back begins with. */
    private volatile Blend blend;
    private Moment began;
    private double busy = 1;
    private double once;
    private double shortOfTime;
    private long count;
    /** Invocations of which a client may still make something. */
    private long wanting;
    private double billed;
    private double earned;
    private volatile boolean ending;

    /** A day on real sockets. */
    public Day(Plan plan, long seed) throws IOException {
        this(plan, seed, new RealWorld());
    }

    /** @throws IllegalArgumentException when the plan asks for what that world has not */
    public Day(Plan plan, long seed, World whole) throws IOException {
        for (Trouble trouble : plan.troubles()) {
            String kind = trouble.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (trouble.kind().needsVirtual() && whole.net() == null) {
                throw new IllegalArgumentException("trouble " + kind + " needs virtual time: use lab replay");
            }
            if (trouble.kind().needsRegistry() && plan.registry() == null) {
                throw new IllegalArgumentException("trouble " + kind + " needs a day with a registry: add registry: etcd");
            }
        }
        this.whole = whole;
        this.world = whole.place("hosts");
        this.clients = whole.place("clients");
        this.plan = plan;
        this.seed = seed;
        this.script = new Random(seed);
        this.traffic = new Random(seed + 1);
        this.manners = new Random(seed + 2);
        this.arrivals = plan.traffic().begin(plan.perSecond(), traffic);
        this.work = plan.work().draw(seed, traffic);
        this.folder = whole.folder();
        this.blend = Blend.of(plan.ways().layout());
        this.store = new Store(world, plan.storeAtOnce(), 8 * plan.storeAtOnce());
        this.popular = ZipfDistribution.of(plan.functions(), 1).createSampler(traffic::nextLong);
        for (Terms.Trigger trigger : plan.terms().triggerTypes()) {
            types.put(trigger.name(), new Result.TypeResult());
            latency.put(trigger.name(), new Histogram(TimeUnit.MINUTES.toMicros(10), 3));
        }
    }

    /** Others decide in the gateways; before the day begins. */
    public void decidedBy(Decider other) {
        decider = other;
    }

    /** What happens is written there; before the day begins. */
    public void writtenTo(Chronicle there) {
        chronicle = there;
    }

    /** What can be seen of the hosts from outside all rules. */
    public Sights sights() {
        return sights;
    }

    private int zone(String host) {
        return Integer.parseInt(host.substring(host.lastIndexOf('-') + 1)) % plan.zones();
    }

    private int cell(String host) {
        return Integer.parseInt(host.substring(host.lastIndexOf('-') + 1)) % plan.cells();
    }

    private Group group() {
        return plan.terms().triggerTypes().stream().filter(each -> each.effect() == Effect.TOKENED)
            .map(Terms.Trigger::group).findFirst().orElse(Group.ALL);
    }

    // ---- the course of a day ----

    /** Plays the day to its end and judges it; bounded by its length, the longest client timeout a try and a few seconds. */
    public Result play() throws IOException {
        try {
            open();
            on(world, this::schedule);
            began = whole.clock();
            on(clients, () -> {
                arrive(clients.now(), clients.now().plus(plan.lasts()));
                if (chronicle != null) {
                    sample();
                }
            });
            long longest = plan.terms().triggerTypes().stream().mapToLong(each -> each.clientTimeout().micros()).max()
                .orElse(0);
            await(plan.lasts().plus(new Span(longest).plus(RETRY_MOST).times(1 + plan.tries())).plus(Span.ofMillis(2_000)));
            return result();
        } finally {
            close();
        }
    }

    /** Starts hosts, gateways and clients, with no traffic and no trouble of their own. */
    public void open() throws IOException {
        if (plan.registry() != null) {
            registry = new RegistryStandIn(new Address.Unix(folder.resolve("registry.sock")), world);
            registry.delay = plan.listLag().times(0.3);
            registry.fragments = 3;
            registry.start();
        }
        Span window = plan.terms().triggerTypes().stream().map(Terms.Trigger::window).reduce(Span.ZERO, Span::longer);
        Map<Integer, Repeats> groups = new HashMap<>();
        for (int i = 0; i < plan.hosts(); i++) {
            String name = "w-" + i;
            int group = switch (group()) {
                case ALL -> 0;
                case ZONE -> zone(name);
                case CELL -> cell(name);
            };
            Address address = i % 2 == 0 ? new Address.Tcp("127.0.0.1", 0)
                : new Address.Unix(folder.resolve(name + ".sock"));
            Place home = whole.beside(world, name, i % plan.halls());
            homes.put(name, home);
            StandIn host = new StandIn(name, address, plan.machine(i), home, store,
                groups.computeIfAbsent(group, any -> new Repeats(window.plus(Span.ofMillis(250)))), account,
                script.nextLong());
            host.start(false);
            hosts.add(host);
            byNumber.put(Ids.host(name), host);
            list.put(name, HostSpec.ready(name, host.address()).in(zone(name), cell(name)));
        }
        if (registry != null) {
            Map<String, String> all = new TreeMap<>();
            list.forEach((name, spec) -> all.put(PREFIX + name, value(spec)));
            on(world, () -> registry.commit(all));
        }
        for (int i = 0; i < plan.gateways(); i++) {
            Site site = new Site(i);
            sites.add(site);
            startGateway(site);
            on(clients, () -> {
                for (int c = 0; c < plan.connections(); c++) {
                    Wire wire = new Wire(site);
                    site.wires.add(wire);
                    connect(wire);
                }
            });
        }
    }

    private static void on(Place loop, Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        done.join();
    }

    private void startGateway(Site site) throws IOException {
        site.name = "gw-" + site.index + (site.incarnation == 0 ? "" : "." + site.incarnation);
        site.loop = whole.place(site.name, site.index % plan.halls());
        Flintlead.Builder builder = Flintlead.of(plan.terms().as(site.name, site.index, plan.gateways()))
            .seed(seed * 31 + site.index).on(site.loop);
        builder = plan.peers() ? builder.withPeers() : builder;
        site.gateway = (decider == null ? builder : builder.decidedBy(decider)).start();
        if (plan.peers()) {
            keepCompany(site);
        }
        site.gateway.withTaker(taker -> taker.layouts(blend, null));
        ScriptedDisk kept = plan.keeps() ? whole.disk("gw-" + site.index) : null;
        if (kept != null) {
            site.gateway.withTaker(taker -> new OwnSights(taker.loop(), new OfTaker(taker, any -> { }), kept, "gw-" + site.index, Runnable::run, whole::epochMs,
                plan.terms().hosts().idleLife()).begin());
        }
        if (registry == null) {
            List<HostSpec> now;
            synchronized (list) {
                now = new ArrayList<>(list.values());
            }
            tell(site, now);
        } else {
            follow(site);
        }
        site.front = ClientFront.open(site.gateway, new Address.Unix(folder.resolve(site.name + ".sock")),
            FrontBounds.USUAL);
        site.up = true;
    }

    /** Each start has a port of its own, as the one before may still be held; the first two are the seeds. */
    private void keepCompany(Site site) throws IOException {
        List<Address.Udp> seeds = new ArrayList<>(seedPorts.values());
        PeerTerms terms = PeerTerms.usual(new Address.Udp("127.0.0.1", 0), seeds);
        CompletableFuture<OfTaker> taker = new CompletableFuture<>();
        site.gateway.withTaker(here -> taker.complete(new OfTaker(here, any -> { })));
        OfTaker own = taker.join();
        Peers.open(site.loop, terms, "gw-" + site.index, site.index, whole.epochMs(), own, seed * 13 + site.index + 1, peers -> {
            own.join(peers);
            site.peers = peers;
            if (site.index < SEEDS) {
                seedPorts.put(site.index, peers.address());
            }
        });
    }

    /** Where the first gateway's clients come in. */
    public Address front() {
        return sites.get(0).front;
    }

    /** One more way into the first gateway. */
    public Address front(Path socket) throws IOException {
        return ClientFront.open(sites.get(0).gateway, new Address.Unix(socket), FrontBounds.USUAL);
    }

    private void await(Span most) {
        Moment end = whole.clock().plus(most);
        boolean[] done = {false};
        while (!done[0] && whole.clock().isBefore(end)) {
            whole.pass(Span.ofMillis(20));
            on(clients, () -> done[0] = ending && wanting == 0 && sites.stream().flatMap(site -> site.wires.stream())
                .allMatch(wire -> wire.out.isEmpty()));
        }
    }

    private Result result() {
        for (Site site : sites) {
            if (site.up) {
                Counts counts = site.gateway.counts().join();
                counted.merge("taken", counts.taken(), Long::sum);
                counted.merge("turned away", counts.turnedAway(), Long::sum);
                counted.merge("left", counts.left(), Long::sum);
                counted.merge("open at the end", (long) counts.open(), Long::sum);
                counted.merge("flights at the end", (long) counts.flights(), Long::sum);
                counted.merge("kept back by the ledger", counts.keptBack(), Long::sum);
                counted.merge("answered by the ledger", counts.overdue(), Long::sum);
                site.gateway.withTaker(taker -> counted.merge("in the intake at the end", (long) taker.intake().taken(), Long::sum));
                for (Sight pool : site.gateway.pools().join()) {
                    counted.merge("in pools at the end", (long) pool.inHand(), Long::sum);
                    if (plan.ways().layout().equals(Layout.NONE)) {
                        continue;
                    }
                    counted.merge("pool " + pool.name() + " taken", pool.taken(), Long::sum);
                    counted.merge("pool " + pool.name() + " guests", pool.came(), Long::sum);
                    counted.merge("pool " + pool.name() + " turned away", pool.turnedAway(), Long::sum);
                    counted.merge("pools of older layouts", pool.listed() ? 0L : 1L, Long::sum);
                }
                if (site.peers != null) {
                    on(site.loop, () -> counted.merge("facts learnt", (long) site.peers.counts().learnt(), Long::sum));
                }
                counts.outcomes().forEach((outcome, n) -> counted.merge("dispatch " + outcome, n, Long::sum));
            }
        }
        Result[] result = new Result[1];
        on(clients, () -> on(world, () -> {
            if (chronicle != null) {
                account.arrivals.stream().filter(arrival -> arrival.ranAt != null)
                    .forEach(arrival -> chronicle.ran(arrival.function, arrival.host));
            }
            ToIntFunction<String> zone = this::zone;
            ToIntFunction<String> cell = this::cell;
            List<Auditor.Breach> breaches = new Auditor(plan.terms(), plan.make(), List.copyOf(stalls), List.copyOf(delays)).judge(account, tries,
                new ArrayList<>(told), Map.of(Group.ZONE, zone, Group.CELL, cell));
            types.forEach((name, type) -> {
                type.p50Ms = latency.get(name).getValueAtPercentile(50) / 1000;
                type.p99Ms = latency.get(name).getValueAtPercentile(99) / 1000;
            });
            result[0] = new Result(plan.name(), seed, types, billed == 0 ? 0 : earned / billed,
                account.arrivals.size(), account.loads, account.fetches, account.orders.size(), counted,
                List.copyOf(breaches), count, wasted());
        }));
        return result[0];
    }

    /** Of the work that ran to its end, what was done for invocations that did not succeed, or a second time. */
    private double wasted() {
        Map<String, Integer> succeeded = new HashMap<>();
        for (Try each : tries) {
            if (each.heard.stream().anyMatch(heard -> heard.kind() == Reply.Kind.SUCCEEDED)) {
                succeeded.merge(each.token, 1, Integer::sum);
            }
        }
        double all = 0;
        double of = 0;
        for (Account.Arrival arrival : account.arrivals) {
            if (arrival.ranAt != null) {
                all += arrival.workMs;
                of += succeeded.merge(arrival.token, -1, Integer::sum) >= 0 ? arrival.workMs : 0;
            }
        }
        return all == 0 ? 0 : 1 - of / all;
    }

    public void close() throws IOException {
        ending = true;
        for (Site site : sites) {
            if (site.up) {
                CompletableFuture<?> stopped = site.gateway.stop(Span.ofMillis(200));
                for (int i = 0; i < STOP_STEPS && !stopped.isDone(); i++) {
                    whole.pass(Span.ofMillis(10));
                }
            }
            if (site.loop != null) {
                site.loop.close();
            }
        }
        on(world, () -> hosts.forEach(StandIn::crash));
        clients.close();
        world.close();
        whole.close();
    }

    // ---- clients ----

    private void connect(Wire wire) {
        if (ending && wire.out.isEmpty() || !wire.site.up) {
            return;
        }
        wire.open = true;
        openWires.add(wire);
        wire.client = Client.connect(clients, wire.site.front, () -> {
            wire.open = false;
            openWires.remove(wire);
            clients.after(RECONNECT, () -> connect(wire));
        });
    }

    /** Arrivals are drawn one after the other, whatever becomes of those before. */
    private void arrive(Moment begin, Moment until) {
        Arrivals.Arrival next = arrivals.next(busy);
        Moment at = next == null ? until : begin.plus(next.at());
        clients.at(Moment.later(clients.now(), at), () -> {
            if (next == null || at.isAfter(until)) {
                ending = true;
                return;
            }
            firstTry(next);
            arrive(begin, until);
        });
    }

    private void sample() {
        Span at = whole.clock().since(began);
        List<Chronicle.HostLook> looks = new ArrayList<>();
        on(world, () -> hosts.forEach(host -> {
            StandIn.Look look = host.look();
            HostSpec listed;
            synchronized (list) {
                listed = list.get(host.name());
            }
            boolean drains = look.draining() || listed != null && listed.state() == HostEntry.State.DRAINING;
            looks.add(new Chronicle.HostLook(host.name(), look.up(), look.cold(), look.up() && drains, look.working(),
                look.waiting(), look.loading()));
        }));
        chronicle.add(new Chronicle.Sample(at, looks));
        if (!ending) {
            clients.after(Chronicle.SAMPLED, this::sample);
        }
    }

    /** All that is left to chance in an invocation is drawn here, in the same number of draws each time. */
    private void firstTry(Arrivals.Arrival arrival) {
        boolean isOnce = traffic.nextDouble() < once;
        int drawn = popular.sample();
        boolean hurried = traffic.nextDouble() < shortOfTime;
        boolean leaves = traffic.nextBoolean();
        int rank = arrival.function() >= 0 ? arrival.function() : isOnce ? plan.functions() + (int) count : drawn;
        double sampled = work.of(rank);
        List<Terms.Trigger> triggers = plan.terms().triggerTypes();
        Terms.Trigger trigger = triggers.get(rank % triggers.size());
        Span now = clients.now().since(began);
        Wanted wanted = new Wanted("fn-" + trigger.name() + "-" + rank, trigger, "t" + count++,
            arrival.workMs() > 0 ? arrival.workMs() : sampled, clients.now(), hurried, leaves, !now.isShorterThan(plan.warmUp()));
        if (decider != null) {
            functionNames.putIfAbsent(Ids.function(wanted.function), wanted.function);
        }
        if (wanted.counts) {
            types.get(trigger.name()).asked++;
            billed += trigger.billedValue();
        }
        wanting++;
        tried(wanted, 0);
    }

    /** An invocation that a client wants, over all its tries. */
    private record Wanted(String function, Terms.Trigger trigger, String token, double workMs, Moment firstAt,
                          boolean hurried, boolean leaves, boolean counts) { }

    private void tried(Wanted wanted, int before) {
        Terms.Trigger trigger = wanted.trigger;
        if (openWires.isEmpty()) {
            over(wanted, null, before + 1, Reply.Kind.LOST);
            return;
        }
        Wire wire = openWires.get(manners.nextInt(openWires.size()));
        Span timeout = wanted.hurried ? trigger.latencyObjective().times(SHORT_TIME) : trigger.clientTimeout();
        Try each = new Try(wire.site.name, trigger.name(), wanted.token, clients.now(), timeout, wanted.firstAt);
        each.excused = wire.deaf != null && wire.deaf == wire.client;
        tries.add(each);
        wire.out.add(each);
        byte[] payload = ("{\"token\":\"" + wanted.token + "\",\"workMs\":" + (float) wanted.workMs + "}")
            .getBytes(StandardCharsets.US_ASCII);
        Client client = wire.client;
        long id = client.invoke(wanted.function, trigger.name(), null, timeout, wanted.token, payload, before > 0, reply -> {
            each.heard.add(new Try.Heard(reply.kind(), reply.mayHaveRun(), clients.now()));
            wire.out.remove(each);
            answered(wanted, each, reply, before);
        });
        if (wanted.hurried && wanted.leaves) {
            clients.after(timeout.times(0.5), () -> client.cancel(id));
        }
    }

    private void answered(Wanted wanted, Try each, Reply reply, int before) {
        boolean again = before < plan.tries() && !ending && (reply.kind() == Reply.Kind.THROTTLED
            || reply.kind() != Reply.Kind.SUCCEEDED && wanted.trigger.effect() == Effect.IDEMPOTENT);
        if (again) {
            clients.after(Span.shorter(RETRY_MOST, Span.longer(RETRY_AFTER, reply.retryIn())), () -> tried(wanted, before + 1));
        } else {
            over(wanted, each.gateway, before + 1, reply.kind());
        }
    }

    /** The client makes no more of it. */
    private void over(Wanted wanted, String gateway, int made, Reply.Kind kind) {
        wanting--;
        Span took = clients.now().since(wanted.firstAt);
        Chronicle.End end = switch (kind) {
            case SUCCEEDED -> took.isLongerThan(wanted.trigger.latencyObjective()) ? Chronicle.End.LATE
                : Chronicle.End.IN_OBJECTIVE;
            case THROTTLED -> Chronicle.End.THROTTLED;
            case LOST -> Chronicle.End.LOST;
            default -> Chronicle.End.ERRORED;
        };
        if (chronicle != null) {
            chronicle.add(new Chronicle.Invocation(wanted.firstAt.since(began), wanted.function, wanted.trigger.name(),
                gateway, made, end, took, wanted.workMs));
        }
        if (!wanted.counts) {
            return;
        }
        Result.TypeResult type = types.get(wanted.trigger.name());
        if (kind == Reply.Kind.SUCCEEDED) {
            latency.get(wanted.trigger.name()).recordValue(Math.min(took.micros(), TimeUnit.MINUTES.toMicros(10)));
        }
        switch (end) {
            case IN_OBJECTIVE -> {
                type.inObjective++;
                earned += wanted.trigger.billedValue();
            }
            case LATE -> type.late++;
            case THROTTLED -> type.throttled++;
            case LOST -> type.lost++;
            default -> type.errored++;
        }
    }

    /** What comes late or not at all to one that does not read is not the gateway's. */
    private void deaf(Wire wire, Span lasts) {
        Client client = wire.client;
        wire.deaf = client;
        excuse(wire);
        client.reading(false);
        clients.after(lasts, () -> {
            // By the client, not the wire: it may have hung up meanwhile, and the next be deaf itself.
            if (wire.deaf == client) {
                wire.deaf = null;
            }
            if (wire.open && wire.client == client) {
                client.reading(true);
            }
        });
    }

    private static void excuse(Wire wire) {
        wire.out.forEach(each -> each.excused = true);
    }

    // ---- the host list ----

    private void tell(Site site, List<HostSpec> now) {
        told(site.name, now);
        site.gateway.hosts(now);
    }

    private void told(String gateway, List<HostSpec> now) {
        Moment at = whole.clock();
        Map<String, HostSpec> there = new HashMap<>();
        now.forEach(spec -> there.put(spec.name(), spec));
        Map<String, Boolean> before = toldLast.computeIfAbsent(gateway, any -> new ConcurrentHashMap<>());
        for (StandIn host : hosts) {
            HostSpec spec = there.get(host.name());
            boolean closed = spec == null || spec.state() != HostEntry.State.READY;
            if (!Boolean.valueOf(closed).equals(before.put(host.name(), closed))) {
                told.add(new Told(gateway, host.name(), closed, at));
            }
        }
    }

    /** The list changes now; the gateways hear of it late, each at a time of its own. */
    private void list(String host, HostSpec spec) {
        List<HostSpec> now;
        synchronized (list) {
            if (spec == null) {
                list.remove(host);
            } else {
                list.put(host, spec);
            }
        }
        if (registry != null) {
            Map<String, String> change = new HashMap<>();
            change.put(PREFIX + host, spec == null ? null : value(spec));
            registry.commit(change);
            return;
        }
        for (Site site : sites) {
            world.after(plan.listLag().times(0.5 + script.nextDouble()), () -> {
                if (site.up && !ending) {
                    List<HostSpec> latest;
                    synchronized (list) {
                        latest = new ArrayList<>(list.values());
                    }
                    tell(site, latest);
                }
            });
        }
    }

    /** The gateway follows the registry; what it is told goes into the account of the day. */
    private void follow(Site site) {
        String name = site.name;
        ScriptedDisk disk = whole.disk("gw-" + site.index);
        SnapshotFile file = disk == null ? null : new SnapshotFile(disk, "hosts.snapshot", SNAPSHOT_AGE, words -> { });
        site.gateway.withTaker(taker -> new RegistryHosts(taker.loop(), taker.transport(), RegistryTerms.usual(
            plan.registry(), List.of(registry.address()), PREFIX), new Random(seed * 17 + site.index),
            whole::epochMs, file, Runnable::run, RegistryHosts.gateway(taker::heardAt, taker::ask, specs -> {
                told(name, specs);
                taker.hosts(specs);
            }, words -> { }), null).begin());
    }

    private String value(HostSpec spec) {
        long epoch = spec.startedAt().micros() == 0 ? 0 : whole.epochMs()
            - whole.clock().since(spec.startedAt()).micros() / 1000;
        return "{\"address\":\"" + spec.addresses().get(0) + "\",\"zone\":" + spec.zone() + ",\"cell\":" + spec.cell()
            + ",\"state\":\"" + spec.state().name().toLowerCase(Locale.ROOT) + "\",\"startedEpochMs\":" + epoch + "}";
    }

    private HostSpec spec(StandIn host) {
        return HostSpec.ready(host.name(), host.address()).in(zone(host.name()), cell(host.name()))
            .startedAt(host.startedAt() == null ? new Moment(0) : host.startedAt());
    }

    // ---- troubles ----

    private void schedule() {
        for (Trouble trouble : plan.troubles()) {
            world.after(trouble.at(), () -> begin(trouble));
        }
        Ways.Shift shift = plan.ways().shift();
        if (shift != null) {
            Layout from = plan.ways().layout();
            for (int i = 1; i <= shift.steps(); i++) {
                Blend next = new Blend(from, shift.to(), (double) i / shift.steps());
                world.after(shift.at().plus(shift.every().times(i - 1)), () -> pass(next));
            }
            if (shift.back().micros() > 0) {
                world.after(shift.back(), () -> pass(Blend.of(from)));
            }
        }
    }

    /** Each gateway hears of it at a time of its own, as of a list. */
    private void pass(Blend next) {
        blend = next;
        for (Site site : sites) {
            world.after(plan.listLag().times(script.nextDouble()), () -> {
                if (site.up && !ending) {
                    site.gateway.withTaker(taker -> taker.layouts(next, null));
                }
            });
        }
    }

    private List<StandIn> some(double part) {
        List<StandIn> chosen = new ArrayList<>(hosts);
        Collections.shuffle(chosen, script);
        return chosen.subList(0, (int) Math.max(1, Math.round(part * hosts.size())));
    }

    private List<Site> someSites(double part) {
        List<Site> chosen = new ArrayList<>(sites);
        Collections.shuffle(chosen, script);
        return chosen.subList(0, (int) Math.max(1, Math.round(part * sites.size())));
    }

    private void during(Trouble trouble, List<StandIn> some, java.util.function.Consumer<StandIn> begin,
                        java.util.function.Consumer<StandIn> end) {
        some.forEach(begin);
        world.after(trouble.lasts(), () -> some.forEach(end));
    }

    private void begin(Trouble trouble) {
        List<StandIn> some = some(trouble.part());
        switch (trouble.kind()) {
            case BURST -> clientsDuring(trouble, () -> busy = trouble.size(), () -> busy = 1);
            case SCAN -> clientsDuring(trouble, () -> once = trouble.part(), () -> once = 0);
            case GIVE_UP -> clientsDuring(trouble, () -> shortOfTime = trouble.part(), () -> shortOfTime = 0);
            case HANG -> during(trouble, some, host -> host.troubles.hangs = true, host -> host.troubles.hangs = false);
            case SILENT -> during(trouble, some, host -> host.troubles.silent = true, host -> {
                host.troubles.silent = false;
                host.crash();
                again(host, Span.ZERO);
            });
            case FAST_ERRORS -> during(trouble, some, host -> host.troubles.fails = Math.min(1, trouble.size()),
                host -> host.troubles.fails = 0);
            case RESET -> during(trouble, some, host -> host.troubles.resets = Math.min(1, trouble.size()),
                host -> host.troubles.resets = 0);
            case HALF_ANSWER -> during(trouble, some, host -> host.troubles.halves = Math.min(1, trouble.size()),
                host -> host.troubles.halves = 0);
            case WRONG_ID -> during(trouble, some, host -> host.troubles.wrongIds = Math.min(1, trouble.size()),
                host -> host.troubles.wrongIds = 0);
            case FULL -> during(trouble, some, host -> host.troubles.full = true, host -> host.troubles.full = false);
            case REPORT_LATE -> during(trouble, some, host -> host.troubles.reportsLate = true,
                host -> host.troubles.reportsLate = false);
            case PAUSES -> some.forEach(host -> pauses(host, trouble, world.now().plus(trouble.lasts())));
            case FLUSH -> hosts.forEach(StandIn::flush);
            case STORE_SLOW -> {
                store.slow(trouble.size());
                world.after(trouble.lasts().times(0.5), () -> store.stopFor(trouble.length()));
                world.after(trouble.lasts(), () -> store.slow(1));
            }
            case DEPLOY -> {
                double each = trouble.lasts().micros() / (double) some.size();
                for (int i = 0; i < some.size(); i++) {
                    StandIn host = some.get(i);
                    world.after(new Span((long) (i * each)), () -> replace(host));
                }
            }
            case ZONE_LOSS -> {
                int zone = script.nextInt(plan.zones());
                restart(hosts.stream().filter(host -> zone(host.name()) == zone).toList(), trouble.lasts());
            }
            case MASS_RESTART -> restart(some, trouble.length());
            case AGEING -> some.forEach(host -> age(host, trouble, world.now()));
            case PARTITION -> between(trouble, some, (gateway, host) -> whole.net().cut(gateway, host, true), true);
            case ONE_WAY -> between(trouble, some, (gateway, host) -> whole.net().cut(host, gateway, false), true);
            case NET_SLOW -> between(trouble, some,
                (gateway, host) -> whole.net().slow(gateway, host, Math.max(1, trouble.size())), false);
            case NET_LOSS -> between(trouble, some,
                (gateway, host) -> whole.net().lose(gateway, host, Math.min(0.9, trouble.size())), false);
            case POWER -> some.forEach(host -> power(host, trouble));
            case DISK_FULL -> sites.forEach(site -> {
                whole.disk("gw-" + site.index).full(true);
                world.after(trouble.lasts(), () -> whole.disk("gw-" + site.index).full(false));
            });
            case DISK_ROT -> sites.forEach(site -> {
                whole.disk("gw-" + site.index).rots(true);
                world.after(trouble.lasts(), () -> whole.disk("gw-" + site.index).rots(false));
            });
            case REGISTRY_COMPACT -> {
                registry.compact(registry.revision());
                registry.dropAll();
            }
            case REGISTRY_RESTART -> registry.restart(trouble.length(), false);
            case REGISTRY_EMPTY -> {
                registry.restart(trouble.length(), true);
                hosts.forEach(host -> world.after(trouble.length().plus(trouble.lasts().times(script.nextDouble())), () -> {
                    if (host.isUp() && !ending) {
                        list(host.name(), spec(host));
                    }
                }));
            }
            case GATEWAY_CRASH -> someSites(trouble.part()).forEach(site -> crash(site, trouble.length()));
            case GATEWAY_STALL -> someSites(trouble.part()).forEach(site -> {
                Moment from = whole.clock();
                String name = site.name;
                whole.stall(site.loop, trouble.length(),
                    () -> stalls.add(new Auditor.Stall(name, from, whole.clock())));
            });
            case SLOW_READER -> on(clients, () -> someSites(trouble.part()).forEach(site -> site.wires.stream()
                .filter(wire -> wire.open && traffic.nextDouble() < trouble.part()).forEach(wire -> deaf(wire, trouble.lasts()))));
            case HANG_UP -> on(clients, () -> someSites(trouble.part()).forEach(site -> site.wires.forEach(wire -> {
                if (wire.open && traffic.nextDouble() < trouble.part()) {
                    excuse(wire);
                    wire.client.close();
                }
            })));
            default -> throw new IllegalStateException("no script for " + trouble.kind());
        }
    }

    /** Spoils the ways between some gateways and some hosts; the auditor is told of ways that were cut. */
    private void between(Trouble trouble, List<StandIn> some, BiConsumer<Place, Place> spoil, boolean cuts) {
        List<Place[]> ways = new ArrayList<>();
        for (Site site : trouble.kind() == Trouble.Kind.PARTITION || trouble.kind() == Trouble.Kind.ONE_WAY
            ? someSites(0.5) : sites) {
            for (StandIn host : some) {
                Place[] way = {site.loop, homes.get(host.name())};
                spoil.accept(way[0], way[1]);
                ways.add(way);
                if (cuts) {
                    delays.add(new Auditor.Delay(site.name, host.name(), whole.clock(), whole.clock().plus(trouble.lasts())));
                }
            }
        }
        world.after(trouble.lasts(), () -> ways.forEach(way -> {
            whole.net().heal(way[0], way[1]);
            whole.net().slow(way[0], way[1], 1);
            whole.net().lose(way[0], way[1], 0);
        }));
    }

    /** A machine without power: the list learns of it later than of a process that died. */
    private void power(StandIn host, Trouble trouble) {
        if (!host.isUp()) {
            return;
        }
        whole.net().vanish(homes.get(host.name()));
        host.crash();
        world.after(plan.listLag().times(5), () -> {
            if (!host.isUp()) {
                list(host.name(), null);
            }
        });
        world.after(trouble.lasts(), () -> {
            whole.net().back(homes.get(host.name()));
            again(host, Span.ZERO);
        });
    }

    
    private void clientsDuring(Trouble trouble, Runnable begin, Runnable end) {
        clients.execute(begin);
        world.after(trouble.lasts(), () -> clients.execute(end));
    }

    private void pauses(StandIn host, Trouble trouble, Moment until) {
        if (world.now().isBefore(until)) {
            host.troubles.stillUntil = world.now().plus(trouble.length());
            world.after(trouble.length().times(2 + 3 * script.nextDouble()), () -> pauses(host, trouble, until));
        }
    }

    /** A rolling deploy's step: drain, go, come back cold. */
    private void replace(StandIn host) {
        list(host.name(), spec(host).with(HostEntry.State.DRAINING));
        world.after(DRAIN_TIME, () -> restart(List.of(host), AWAY));
    }

    /** They die at once; the list hears of it, and of their return, late. */
    private void restart(List<StandIn> some, Span away) {
        for (StandIn host : some) {
            host.crash();
            list(host.name(), null);
            again(host, away);
        }
    }

    private void again(StandIn host, Span away) {
        world.after(away, () -> {
            if (!ending && !host.isUp() && !host.hasFallen()) {
                // Not on the loop itself: binding waits for it.
                whole.aside("start " + host.name(), () -> {
                    try {
                        host.start(true);
                        world.execute(() -> list(host.name(), spec(host)));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
            }
        });
    }

    private void age(StandIn host, Trouble trouble, Moment since) {
        double part = world.now().since(since).over(trouble.lasts());
        if (part >= 1) {
            host.troubles.slow = 1;
            restart(List.of(host), trouble.length());
            return;
        }
        host.troubles.slow = 1 + (trouble.size() - 1) * part;
        world.after(Span.ofMillis(100), () -> age(host, trouble, since));
    }

    private void crash(Site site, Span away) {
        on(clients, () -> {
            site.up = false;
            openWires.removeAll(site.wires);
            site.wires.forEach(Day::excuse);
        });
        site.gateway.kill();
        site.loop.close();
        ScriptedDisk disk = whole.disk("gw-" + site.index);
        if (disk != null && script.nextBoolean()) {
            disk.powerLost();
        }
        world.after(away, () -> {
            if (ending) {
                return;
            }
            whole.aside("start gateway", () -> {
                try {
                    site.incarnation++;
                    startGateway(site);
                    on(clients, () -> site.wires.stream().filter(wire -> !wire.open).forEach(this::connect));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        });
    }
}
