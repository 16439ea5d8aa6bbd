package flintlead.standin;

import flintlead.loop.Address;
import flintlead.loop.Loop;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.loop.Transport;
import flintlead.link.HostCodes;
import flintlead.rpc.Frame;
import flintlead.rpc.Id;
import flintlead.rpc.LineDecoder;
import flintlead.rpc.Members;
import flintlead.rpc.Message;
import flintlead.rpc.RpcException;
import flintlead.rpc.RpcReader;
import flintlead.time.Moment;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.GammaDistribution;

/** One stand-in host on a loop: speaks the hosts' protocol, loads functions, works, and gets into trouble by script. */
public final class StandIn {

    private static final int FRAME_MOST = 4 << 20;
    /** The part of a load's time that is the fetch from the store. */
    private static final double FETCH_PART = 0.7;
    private static final Span USUAL_LOAD = Span.ofMillis(300);
    private static final double USUAL_MEMORY = 200;
    /** Shape of the spread of work about its mean. */
    private static final double WORK_SHAPE = 4;
    /** Of the room for work in a cold host's window, what chance may go over it. */
    private static final double FALL_SLACK_MS = 200;

    private final class Copies {
        final String function;
        double memoryMb = USUAL_MEMORY;
        int lanes = 1;
        Span load = USUAL_LOAD;
        int standing;
        int loading;
        int working;
        final Deque<Run> waiting = new ArrayDeque<>();
        final List<Order> orders = new ArrayList<>();
        Moment usedAt = new Moment(0);

        Copies(String function) {
            this.function = function;
        }

        int held() {
            return working + waiting.size();
        }
    }

    private record Order(Connection connection, Id id, int copies) { }

    private final class Run {
        final Connection connection;
        final Id id;
        final Account.Arrival arrival;
        final byte[] payload;
        final Copies copies;
        final int crowd;
        String copy = "warm";
        boolean cancelled;

        Run(Connection connection, Id id, Account.Arrival arrival, byte[] payload, Copies copies, int crowd) {
            this.connection = connection;
            this.id = id;
            this.arrival = arrival;
            this.payload = payload;
            this.copies = copies;
            this.crowd = crowd;
        }
    }

    private final String name;
    private final Make make;
    private final Loop loop;
    private final Transport transport;
    private final Store store;
    private final Repeats repeats;
    private final Account account;
    private final Random random;
    private final ContinuousDistribution.Sampler work;
    private final RpcReader reader = new RpcReader();
    public final Troubles troubles = new Troubles();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<String, Copies> functions = new LinkedHashMap<>();
    private final Cores cores;
    private Transport.Listening listening;
    private Address address;
    private int start;
    private Moment startedAt;
    private boolean cold;
    private boolean up;
    private volatile boolean fallen;
    private boolean draining;
    private int working;
    private int waiting;
    private int loads;
    private double memoryUsed;
    private final Deque<Copies> loadQueue = new ArrayDeque<>();
    private final Deque<Account.Arrival> recent = new ArrayDeque<>();
    private double recentWork;
    private int reported;

    public <L extends Loop & Transport> StandIn(String name, Address address, Make make, L world, Store store,
                                                Repeats repeats, Account account, long seed) {
        this.name = name;
        this.address = address;
        this.make = make;
        this.loop = world;
        this.transport = world;
        this.store = store;
        this.repeats = repeats;
        this.account = account;
        this.random = new Random(seed);
        this.cores = new Cores(loop, make.cores(), () -> make.speed() * factor() / troubles.slow);
        UniformRandomProvider source = random::nextLong;
        this.work = GammaDistribution.of(WORK_SHAPE, make.usualWork() / WORK_SHAPE).createSampler(source);
    }

    public String name() {
        return name;
    }

    public Address address() {
        return address;
    }

    public boolean isUp() {
        return up;
    }

    public Moment startedAt() {
        return startedAt;
    }

    /** Starts its process, from any thread; cold ones can do only a part at first. */
    public void start(boolean isCold) throws IOException {
        Transport.Listening bound = transport.listen(address, this::accept);
        address = bound.address();
        loop.execute(() -> {
            listening = bound;
            start++;
            startedAt = loop.now();
            cold = isCold;
            up = true;
            draining = false;
            account.starts.add(new Account.Start(name, start, startedAt, isCold, make.cores() * make.speed()));
        });
    }

    /** Its process dies: connections break, what it had loaded and what it did is gone. */
    public void crash() {
        if (!up) {
            return;
        }
        up = false;
        listening.close();
        new ArrayList<>(connections).forEach(connection -> connection.stream.abort());
        connections.clear();
        functions.clear();
        loadQueue.clear();
        recent.clear();
        recentWork = 0;
        cores.clear();
        working = 0;
        waiting = 0;
        loads = 0;
        memoryUsed = 0;
    }

    /** Takes nothing new and says so. */
    public void drain() {
        draining = true;
        account.drains.add(new Account.Drain(name, start, loop.now()));
        connections.forEach(connection -> connection.write(Frame.notification(connection.buffer(), "draining")));
    }

    /** All loaded copies that are idle are void, as after a release. */
    public void flush() {
        for (Copies copies : functions.values()) {
            int idle = Math.max(0, copies.standing - (copies.working + copies.lanes - 1) / copies.lanes);
            copies.standing -= idle;
            memoryUsed -= idle * copies.memoryMb;
        }
    }

    /**
     * What can be seen of it from outside all rules: nothing here comes over a wire.
     *
     * @param answers whether it takes invocations and will answer
     * @param free lanes of the function that would begin at once
     * @param loading copies of the function on their way
     * @param ahead invocations of the function that wait for a lane
     * @param lanes of the function's standing copies
     * @param pace of one core just now
     * @param room work in milliseconds that a cold host may still get in its window; infinite for a warm one
     */
    public record Sight(boolean answers, int free, int loading, int ahead, int lanes, int running, int cores, double pace,
                        boolean memory, double room) { }

    /** What can be seen of it, with regard to a function. */
    public Sight sight(String function) {
        Copies copies = functions.get(function);
        double room = Double.POSITIVE_INFINITY;
        if (cold && factor() < 1) {
            Moment from = loop.now().minus(make.overloadFor());
            double lately = 0;
            for (Account.Arrival arrival : recent) {
                lately += arrival.at.isBefore(from) ? 0 : arrival.workMs;
            }
            room = make.fallMultiple() * make.cores() * make.speed() * factor() * make.overloadFor().micros() / 1000 - lately;
        }
        boolean answers = up && !draining && !troubles.hangs && !troubles.silent && !troubles.full && troubles.fails == 0
            && !loop.now().isBefore(troubles.stillUntil) && waiting < make.queue();
        int standing = copies == null ? 0 : copies.standing;
        int lanes = standing * (copies == null ? 1 : copies.lanes);
        return new Sight(answers, copies == null ? 0 : lanes - copies.working, copies == null ? 0 : copies.loading,
            copies == null ? 0 : copies.waiting.size(), lanes, cores.running(), make.cores(),
            make.speed() * factor() / troubles.slow, memoryUsed + USUAL_MEMORY <= make.memoryMb(), room);
    }

    /** What a report shows of it. */
    public record Look(boolean up, boolean cold, boolean draining, int working, int waiting, int loading) { }

    public Look look() {
        return new Look(up, up && cold && factor() < 1, draining, working, waiting, loads + loadQueue.size());
    }

    private double factor() {
        if (!cold) {
            return 1;
        }
        double age = Math.min(1, loop.now().since(startedAt).over(make.warmAfter()));
        return make.coldFrom() + (1 - make.coldFrom()) * age;
    }

    // ---- invocations ----

    private void run(Connection connection, Id id, Members params, Moment now) {
        String function = params.string("function");
        byte[] payload = params.raw("payload");
        double workMs = work.sample();
        if (payload != null && payload.length > 1 && payload[0] == '{') {
            try {
                workMs = reader.object(payload).number("workMs", workMs);
            } catch (RpcException e) {
                // A payload that names no work gets the usual.
            }
        }
        Account.Arrival arrival = new Account.Arrival(name, start, connection.gateway, params.string("token"), function,
            params.string("triggerType"), now, workMs);
        account.arrived(arrival);
        pressure(arrival);
        if (!up || troubles.hangs) {
            return;
        }
        if (draining) {
            unrun(connection, id, arrival, HostCodes.DRAINING, "draining", false);
            return;
        }
        if (random.nextDouble() < troubles.fails) {
            connection.error(id, HostCodes.FAILED, "it failed", false);
            return;
        }
        if (troubles.full) {
            unrun(connection, id, arrival, HostCodes.FULL, "full", false);
            return;
        }
        Copies copies = copies(function);
        copies.memoryMb = params.number("memoryMb", copies.memoryMb);
        copies.lanes = (int) Math.max(1, params.number("lanes", copies.lanes));
        copies.load = Span.ofMillis(params.number("loadMs", copies.load.micros() / 1e3));
        if (make.tokened().contains(arrival.triggerType) && !repeats.isNew(arrival.token, now)) {
            arrival.dropped = true;
            connection.write(Frame.result(connection.buffer(), id).raw("payload", payload).put("copy", "warm")
                .put("crowd", copies.held()).put("waiting", waiting));
            return;
        }
        Run run = new Run(connection, id, arrival, payload, copies, copies.held());
        connection.runs.put(id, run);
        if (copies.working < copies.standing * copies.lanes) {
            work(run);
            return;
        }
        if (waiting >= make.queue()) {
            unrun(run, HostCodes.FULL, "full", false);
            return;
        }
        if (copies.standing == 0) {
            if (copies.loading > 0) {
                run.copy = "waited";
            } else if (!make.loadsWhenAbsent()) {
                unrun(run, HostCodes.MISS, "not loaded here", false);
                return;
            } else if (!load(copies)) {
                unrun(run, HostCodes.FULL, "no memory", false);
                return;
            } else {
                run.copy = "began";
            }
        } else if (make.addsCopies() && copies.loading == 0) {
            load(copies);
        }
        waiting++;
        copies.waiting.add(run);
    }

    private void pressure(Account.Arrival arrival) {
        recent.add(arrival);
        recentWork += arrival.workMs;
        Moment from = loop.now().minus(make.overloadFor());
        while (recent.peek().at.isBefore(from)) {
            recentWork -= recent.poll().workMs;
        }
        double canDo = make.cores() * make.speed() * factor() * make.overloadFor().micros() / 1000;
        if (cold && factor() < 1 && recentWork > make.fallMultiple() * canDo + FALL_SLACK_MS) {
            account.falls.add(new Account.Fall(name, loop.now()));
            fallen = true;
            loop.at(loop.now(), this::crash);
        }
    }

    public boolean hasFallen() {
        return fallen;
    }

    private Copies copies(String function) {
        return functions.computeIfAbsent(function, Copies::new);
    }

    private void work(Run run) {
        Copies copies = run.copies;
        copies.working++;
        working++;
        int begun = start;
        cores.run(run.arrival.workMs, () -> {
            if (up && start == begun) {
                worked(run);
            }
        });
    }

    private void worked(Run run) {
        Copies copies = run.copies;
        copies.working--;
        working--;
        copies.usedAt = loop.now();
        run.arrival.ranAt = loop.now();
        if (!run.cancelled) {
            run.connection.result(run);
        }
        next(copies);
        int begun = start;
        loop.after(make.idleLife(), () -> {
            boolean idle = start == begun && copies.working == 0 && copies.standing > 0
                && !loop.now().since(copies.usedAt).isShorterThan(make.idleLife());
            if (idle) {
                unload(copies);
            }
        });
    }

    private void next(Copies copies) {
        while (!copies.waiting.isEmpty() && copies.working < copies.standing * copies.lanes) {
            waiting--;
            work(copies.waiting.poll());
        }
    }

    private void unrun(Run run, int code, String why, boolean loadFailed) {
        if (make.tokened().contains(run.arrival.triggerType)) {
            repeats.forget(run.arrival.token);
        }
        unrun(run.connection, run.id, run.arrival, code, why, loadFailed);
    }

    private void unrun(Connection connection, Id id, Account.Arrival arrival, int code, String why,
                       boolean loadFailed) {
        arrival.provenUnrun = true;
        connection.error(id, code, why, loadFailed);
    }

    // ---- loads ----

    private void unload(Copies copies) {
        memoryUsed -= copies.standing * copies.memoryMb;
        copies.standing = 0;
    }

    /** Begins a load, or queues it; false where there is no room for it. */
    private boolean load(Copies copies) {
        while (memoryUsed + copies.memoryMb > make.memoryMb()) {
            Copies oldest = null;
            for (Copies each : functions.values()) {
                if (each.standing > 0 && each.working == 0 && each.waiting.isEmpty()
                    && (oldest == null || each.usedAt.isBefore(oldest.usedAt))) {
                    oldest = each;
                }
            }
            if (oldest == null) {
                return false;
            }
            unload(oldest);
        }
        if (loads >= make.loadsAtOnce() && loadQueue.size() >= 2 * make.loadsAtOnce()) {
            return false;
        }
        copies.loading++;
        memoryUsed += copies.memoryMb;
        if (loads < make.loadsAtOnce()) {
            fetch(copies);
        } else {
            loadQueue.add(copies);
        }
        return true;
    }

    private void fetch(Copies copies) {
        loads++;
        account.fetches++;
        int begun = start;
        store.fetch(copies.load.times(FETCH_PART), served -> {
            if (!up || start != begun) {
                return;
            }
            if (served) {
                loop.after(copies.load.times(1 - FETCH_PART), () -> {
                    if (up && start == begun) {
                        loaded(copies);
                    }
                });
            } else {
                loadFailed(copies);
            }
        });
    }

    private void loadOver(Copies copies) {
        loads--;
        copies.loading--;
        if (!loadQueue.isEmpty()) {
            fetch(loadQueue.poll());
        }
    }

    private void loaded(Copies copies) {
        loadOver(copies);
        account.loads++;
        copies.standing++;
        copies.usedAt = loop.now();
        next(copies);
        copies.orders.removeIf(order -> {
            boolean stand = copies.standing >= order.copies;
            if (stand) {
                order.connection.write(Frame.result(order.connection.buffer(), order.id).put("copies", copies.standing));
            }
            return stand;
        });
    }

    private void loadFailed(Copies copies) {
        loadOver(copies);
        memoryUsed -= copies.memoryMb;
        copies.orders.forEach(order -> order.connection.error(order.id, HostCodes.MISS, "the load failed", true));
        copies.orders.clear();
        if (copies.standing == 0 && copies.loading == 0) {
            List<Run> lost = new ArrayList<>(copies.waiting);
            copies.waiting.clear();
            waiting -= lost.size();
            lost.forEach(run -> unrun(run, HostCodes.MISS, "the load failed", true));
        }
    }

    private void order(Connection connection, Id id, Members params, Moment came) {
        int wanted = (int) Math.max(0, Math.min(16, params.number("copies", 0)));
        account.ordered(new Account.Order(name, connection.gateway, params.string("function"), wanted, came));
        Copies copies = copies(params.string("function"));
        if (draining) {
            connection.error(id, HostCodes.DRAINING, "draining", false);
            return;
        }
        copies.usedAt = loop.now();
        while (copies.standing + copies.loading < wanted) {
            if (!load(copies)) {
                connection.error(id, HostCodes.FULL, "no room", false);
                return;
            }
        }
        if (copies.standing >= wanted) {
            connection.write(Frame.result(connection.buffer(), id).put("copies", copies.standing));
        } else {
            copies.orders.add(new Order(connection, id, wanted));
        }
    }

    // ---- connections ----

    private StreamListener accept(Stream stream) {
        Connection connection = new Connection(stream);
        connections.add(connection);
        return connection;
    }

    private final class Connection implements StreamListener, LineDecoder.Sink {
        private final Stream stream;
        private final LineDecoder decoder = new LineDecoder(FRAME_MOST, this);
        private final Map<Id, Run> runs = new HashMap<>();
        private String gateway = "?";
        private boolean dead;

        Connection(Stream stream) {
            this.stream = stream;
        }

        ByteBuf buffer() {
            return stream.alloc().buffer(256);
        }

        void write(Frame frame) {
            ByteBuf bytes = frame.end();
            if (dead || troubles.silent) {
                bytes.release();
            } else if (loop.now().isBefore(troubles.stillUntil)) {
                loop.at(troubles.stillUntil, () -> stream.write(bytes));
            } else if (random.nextDouble() < troubles.resets) {
                stream.write(bytes.writerIndex(bytes.writerIndex() / 2));
                dead = true;
                stream.close();
            } else if (random.nextDouble() < troubles.halves) {
                stream.write(bytes.writerIndex(bytes.writerIndex() / 2));
                dead = true;
            } else {
                stream.write(bytes);
            }
        }

        void error(Id id, int code, String why, boolean loadFailed) {
            runs.remove(id);
            write(Frame.error(buffer(), id, code, why).put("loadFailed", loadFailed));
        }

        void result(Run run) {
            runs.remove(run.id);
            reported = troubles.reportsLate ? reported : waiting;
            Id id = random.nextDouble() < troubles.wrongIds ? Id.of(run.id.asNumber() + 1) : run.id;
            write(Frame.result(buffer(), id).raw("payload", run.payload).put("copy", run.copy)
                .put("crowd", run.crowd).put("waiting", reported));
        }

        @Override
        public void received(ByteBuf bytes) {
            if (!troubles.silent) {
                decoder.feed(bytes, stream.alloc());
            }
        }

        @Override
        public void closed(String why) {
            decoder.end();
            dead = true;
            connections.remove(this);
        }

        @Override
        public void tooLong(int most) {
            stream.close();
        }

        @Override
        public void line(ByteBuf line) {
            try {
                byte[] text = RpcReader.bytes(line);
                if (text == null) {
                    return;
                }
                Message message = reader.read(text);
                Moment came = loop.now();
                if (came.isBefore(troubles.stillUntil)) {
                    loop.at(troubles.stillUntil, () -> message(message, came));
                } else {
                    message(message, came);
                }
            } catch (RpcException e) {
                write(Frame.error(buffer(), e.id(), e.code(), e.getMessage()));
            }
        }

        private void message(Message message, Moment came) {
            Members params = message.params() == null ? Members.NONE : message.params();
            switch (message.method() == null ? "" : message.method()) {
                case "hello" -> {
                    gateway = params.string("gateway");
                    write(Frame.result(buffer(), message.id()).put("host", name).put("start", name + "#" + start)
                        .put("ageMs", cold ? loop.now().since(startedAt).micros() / 1000
                            : make.warmAfter().micros() / 1000));
                    if (draining) {
                        write(Frame.notification(buffer(), "draining"));
                    }
                }
                case "run" -> run(this, message.id(), params, came);
                case "cancel" -> {
                    Run run = runs.get(Id.of((long) params.number("id", 0)));
                    if (run != null) {
                        run.cancelled = true;
                        waiting -= run.copies.waiting.remove(run) ? 1 : 0;
                    }
                }
                case "load" -> order(this, message.id(), params, came);
                case "unload" -> {
                    Copies copies = functions.get(params.string("function"));
                    if (copies != null && copies.working == 0 && copies.waiting.isEmpty()) {
                        unload(copies);
                    }
                    write(Frame.result(buffer(), message.id()));
                }
                case "ping" -> write(Frame.result(buffer(), message.id()));
                case "probe" -> write(Frame.result(buffer(), message.id()).put("waiting", waiting));
                default -> write(Frame.error(buffer(), message.id() == null ? Id.NULL : message.id(),
                    RpcException.METHOD_NOT_FOUND, "no such method"));
            }
        }
    }
}
