package flintlead.lab;

import flintlead.day.Net;
import flintlead.day.Network;
import flintlead.day.World;
import flintlead.loop.Address;
import flintlead.loop.Place;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.CRC32C;

/**
 * A clock, places and a network in one thread. Events run in the order of their moments, those of one moment in the order
 * they were set; the sum over all of them is the same for the same seed, on any machine.
 */
public final class VirtualWorld implements World {

    /** Where the clock begins; above zero, which stands for the distant past. */
    private static final Moment BEGIN = new Moment(1_000_000_000_000L);
    private static final long EPOCH_MS = 1_800_000_000_000L;

    /** What an event is: in a place that wakes from a stall, posts go first, then bytes, then timers. */
    enum Kind { POST, BYTES, TIMER }

    private record Event(long micros, Kind kind, long order, VirtualPlace place, int life, Runnable task)
        implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(micros, other.micros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    final Network network;
    final Random random;
    final Map<Address, VirtualListening> listening = new HashMap<>();
    /** Who last listened at an address: a machine without power does not even refuse. */
    final Map<Address, VirtualPlace> homes = new HashMap<>();
    final Map<Address.Udp, VirtualPlace.VirtualPort> ports = new HashMap<>();
    final Wiring wiring = new Wiring();
    int nextPort = 20_000;
    private final Map<String, VirtualDisk> disks = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final CRC32C sum = new CRC32C();
    private Moment now = BEGIN;
    private long count;
    private long ran;
    private VirtualPlace running;
    private RuntimeException failure;

    public VirtualWorld(Network network, long seed) {
        this.network = network;
        this.random = new Random(seed);
    }

    @Override
    public VirtualPlace place(String name) {
        return new VirtualPlace(this, name);
    }

    @Override
    public VirtualPlace place(String name, int hall) {
        VirtualPlace place = place(name);
        place.hall(hall);
        return place;
    }

    @Override
    public VirtualPlace beside(Place shared, String name, int hall) {
        return place(name, hall);
    }

    VirtualPlace home(Address address) {
        return homes.get(address);
    }

    @Override
    public Net net() {
        return wiring;
    }

    @Override
    public VirtualDisk disk(String name) {
        return disks.computeIfAbsent(name, any -> new VirtualDisk(any.hashCode()));
    }

    @Override
    public Moment clock() {
        return now;
    }

    @Override
    public long epochMs() {
        return EPOCH_MS + now.since(BEGIN).micros() / 1000;
    }

    @Override
    public Path folder() {
        return Path.of("/virtual");
    }

    @Override
    public void aside(String name, Runnable task) {
        task.run();
    }

    @Override
    public void pass(Span span) {
        Moment until = now.plus(span);
        while (failure == null && !events.isEmpty() && events.peek().micros <= until.micros()) {
            Event event = events.poll();
            now = Moment.later(now, new Moment(event.micros));
            run(event);
        }
        if (failure != null) {
            throw failure;
        }
        now = Moment.later(now, until);
    }

    private void run(Event event) {
        VirtualPlace place = event.place;
        if (event.life != place.life()) {
            return;
        }
        Moment awake = place.standsStillUntil();
        if (now.isBefore(awake)) {
            // Behind those that are there already, in the order that a real loop wakes with.
            events.add(new Event(awake.micros() + event.kind.ordinal(), event.kind, count++, place, event.life, event.task));
            return;
        }
        ran++;
        sum.update((int) event.micros);
        sum.update((int) (event.micros >>> 8));
        sum.update((int) (event.micros >>> 16));
        sum.update(event.kind.ordinal() + 4 * place.number());
        within(place, event.task);
    }

    /** Runs at the place now, as an event within whatever runs. */
    void within(VirtualPlace place, Runnable task) {
        VirtualPlace before = running;
        running = place;
        try {
            task.run();
        } catch (RuntimeException e) {
            // On real sockets the loop logs it and lives on; here it is what is looked for.
            failure = failure == null ? e : failure;
        } finally {
            running = before;
        }
    }

    VirtualPlace running() {
        return running;
    }

    Runnable set(Moment when, Kind kind, VirtualPlace place, Runnable task) {
        boolean[] withdrawn = new boolean[1];
        events.add(new Event(Math.max(when.micros(), now.micros()), kind, count++, place, place.life(), () -> {
            if (!withdrawn[0]) {
                task.run();
            }
        }));
        return () -> withdrawn[0] = true;
    }

    /** Bytes enter the sum, so that two runs that differ in a byte differ in it. */
    void saw(int bytes, int first) {
        sum.update(bytes);
        sum.update(first);
    }

    @Override
    public void stall(Place place, Span span, Runnable over) {
        VirtualPlace still = (VirtualPlace) place;
        still.standStill(now.plus(span));
        set(now.plus(span), Kind.POST, still, over);
    }

    /** Events run so far. */
    public long events() {
        return ran;
    }

    /** The sum over all events so far. */
    public long sum() {
        return sum.getValue();
    }

    @Override
    public void close() {
        events.clear();
    }
}
