package flintlead.pool;

import flintlead.pool.Layout.Standing;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Which pool takes an invocation. The ordinary path is {@link #take}: its token's pool where a repeat is known, else its route's, else, while that
 * pool has too few hosts, fails or is full, one that it spills to and that has room for guests, else none.
 *
 * <p>Four things keep the end of one pool from being the end of the next. Guests are let in by function, a share of them that grows while the
 * host pool's own answers come quickly and shrinks by a third when they do not (additive increase, multiplicative decrease: Chiu and
 * Jain 1989): a few of all functions would have all of them loaded and none served. A guest goes no further. A pool that sends its own away
 * takes no guests. And what comes home comes a share of the functions at a time, as its hosts have to load them.
 */
public final class Board {

    /** Pools that there may be numbers for at once, those of older layouts among them. */
    public static final int NUMBERS = 63;
    /** All hosts of all pools. */
    public static final long EVERYWHERE = -1L;

    /** Answers are judged in steps of this span, and not before there are so many. */
    private static final Span STEP = Span.ofMillis(200);
    private static final int JUDGED_LEAST = 10;
    private static final Span PATIENCE = Span.ofMillis(5_000);
    /** More than this share that did not succeed in time, and more is sent away; less than that, and some comes home. */
    private static final double BAD_ABOVE = 0.9;
    private static final double GOOD_BELOW = 0.08;
    private static final double AWAY_UP = 0.1;
    private static final double AWAY_DOWN = 0.02;
    /** A pool that fails still gets this part of its own, by which it is seen to have recovered. */
    private static final double TRIAL = 0.1;
    /** Share of the functions of other pools that is let in: where that begins, its least, its steps, and when it shrinks. */
    private static final double GUESTS_START = 0.25;
    private static final double GUESTS_LEAST = 0.02;
    private static final double GUESTS_UP = 0.05;
    /** Guests are let in while the pool has no more in hand than this multiple of what it had when it was calm, and a few. */
    private static final double HAND_MOST = 1.5;
    private static final double HAND_FEW = 4;
    private static final double HAND_FOLLOW = 0.2;
    private static final double GUESTS_SHRINK = 0.67;
    /** A pool is tense when its own take this share of their latency objectives on average, those that fail all of it; calm below the other. */
    private static final double TENSE_ABOVE = 0.2;
    private static final double CALM_BELOW = 0.1;
    /** So long after a guest found no room the room grows; so long without guests and it begins anew. */
    private static final Span GROWS_FOR = Span.ofMillis(1_000);
    private static final Span GUESTS_FORGOTTEN = Span.ofMillis(10_000);
    /** A pool may have this multiple of the room that all pools leave in the gateway, as sources of invocations do. */
    private static final double PART_OF_ROOM = 4;
    private static final int RECENT = 1_024;
    /** Names that are counted under, those of pools that have gone among them. */
    private static final int NAMES_MOST = 256;
    private static final int PINS_MOST = 65_536;
    /** One hash for each question, or the answers would hang together. */
    private static final int BLEND_SEED = 0x51ed270b;
    private static final int SPLIT_SEED = 0x2545f491;
    private static final int AWAY_SEED = 0x1b873593;
    private static final int GUEST_SEED = 0x0e6546b6;

    private final int most;
    private final Random random;
    private final Consumer<String> say;
    private final List<Chamber> chambers = new ArrayList<>();
    private final Pins pins = new Pins(PINS_MOST);
    private Blend blend = Blend.of(Layout.NONE);
    private Layout from = Layout.NONE;
    private Layout to = Layout.NONE;
    /** What is counted under each name, whichever chambers stood for it. */
    private final Map<String, Chamber.Told> told = new LinkedHashMap<>();
    private boolean whole = true;
    /** The last invocations, for those who ask what a change of routes would move. */
    private final Wish[] recent = new Wish[RECENT];
    private long takes;
    private List<Standing> hosts = List.of();
    private int inHand;
    private boolean moved;

    /**
     * @param most invocations that the gateway takes
     * @param say hears each turn of a pool, with its reason
     */
    public Board(int most, Random random, Moment now, Consumer<String> say) {
        this.most = most;
        this.random = random;
        this.say = say;
        open(Layout.NONE.pools().iterator().next(), now);
    }

    // ---- the ordinary path ----

    /** @return null where no pool takes it: it may be throttled, as nothing of it has been sent */
    public Seat take(Wish wish, Moment now) {
        Chamber pinned = wish.token() == null ? null : pins.of(wish.token(), now);
        Chamber home = pinned != null ? pinned : chamber(route(wish, now));
        step(home, now);
        recent[(int) (takes++ % recent.length)] = wish;
        Chamber there = home;
        if (pinned == null && (crowded(home) || isAway(home, wish))) {
            there = spill(home, wish, now);
        }
        if (crowded(there)) {
            home.told.turnedAway++;
            return null;
        }
        Seat seat = new Seat(there, home, wish);
        inHand++;
        there.inHand++;
        there.told.taken++;
        if (seat.isGuest()) {
            there.guests++;
            there.told.came++;
            home.told.went++;
        }
        if (wish.token() != null) {
            pins.taken(wish.token(), there, now);
        }
        return seat;
    }

    private String route(Wish wish, Moment now) {
        Layout layout = whole || point(BLEND_SEED, wish.function()) < blend.share() ? to : from;
        for (Route route : layout.routes()) {
            if (route.meets(wish) && route.when().stream().allMatch(this::isTrue)) {
                return layout == to || isSame(side(route, wish)) ? side(route, wish) : OLD + side(route, wish);
            }
        }
        throw new IllegalStateException("the last route meets all");
    }

    /** In front of the name of a pool that the older of two layouts has and the newer chooses otherwise. */
    private static final String OLD = "\n";

    private boolean isSame(String name) {
        return to.pool(name) != null && to.pool(name).hosts().equals(from.pool(name).hosts());
    }

    private boolean isTrue(Route.Condition condition) {
        Chamber chamber = chamber(condition.pool());
        return chamber.ready < condition.ready() == condition.fewer();
    }

    private String side(Route route, Wish wish) {
        List<Route.Share> parts = route.to();
        if (parts.size() == 1) {
            return parts.get(0).pool();
        }
        double at = switch (route.by()) {
            case FUNCTION -> point(SPLIT_SEED, wish.function());
            case CUSTOMER -> point(SPLIT_SEED, wish.customer() == null ? "" : wish.customer());
            case INVOCATION -> wish.token() != null ? point(SPLIT_SEED, wish.token()) : random.nextDouble();
        };
        at *= parts.stream().mapToDouble(Route.Share::part).sum();
        String last = null;
        for (Route.Share part : parts) {
            if (part.part() > 0) {
                last = part.pool();
                at -= part.part();
                if (at < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    /** Evenly from 0 to below 1, the same at every gateway. */
    private static double point(int seed, String name) {
        byte[] bytes = name.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return (MurmurHash3.hash128x64(bytes, 0, bytes.length, seed)[0] >>> 11) * 0x1p-53;
    }

    private boolean crowded(Chamber chamber) {
        return chamber.inHand >= chamber.pool.most()
            || chambers.size() > 1 && chamber.inHand >= PART_OF_ROOM * Math.max(0, most - inHand);
    }

    private boolean isAway(Chamber home, Wish wish) {
        if (home.away <= 0) {
            return false;
        }
        return point(AWAY_SEED, wish.function()) < home.away && (!home.up || random.nextDouble() >= TRIAL);
    }

    /** The first pool that takes it as a guest; its own where none does. */
    private Chamber spill(Chamber home, Wish wish, Moment now) {
        for (String name : home.pool.spillTo()) {
            Chamber there = chamber(name);
            step(there, now);
            if (there != home && there.up && there.away <= 0 && !crowded(there)) {
                if (now.since(there.guestsAt).isLongerThan(GUESTS_FORGOTTEN)) {
                    there.guestShare = GUESTS_START;
                    there.guestsBegin = true;
                }
                there.guestsAt = now;
                if (point(GUEST_SEED, wish.function()) < there.guestShare && there.inHand < HAND_MOST * there.calmHand + HAND_FEW) {
                    return there;
                }
                there.guestsLeftAt = now;
            }
        }
        return home;
    }

    /** How an invocation's end speaks of its pool. */
    public enum End {
        /** It succeeded within its latency objective. */
        GOOD,
        /** It was throttled, errored or late. */
        BAD,
        /** Its client left, or the gateway stops: that says nothing. */
        NEITHER
    }

    /**
     * It has its final answer, or its client has left. Harmless a second time.
     *
     * @param pace the time that it took, as a share of its latency objective
     */
    public void done(Seat seat, End end, double pace, Moment now) {
        if (seat.over) {
            return;
        }
        seat.over = true;
        Chamber there = seat.chamber;
        inHand--;
        there.inHand--;
        there.guests -= seat.isGuest() ? 1 : 0;
        if (seat.wish.token() != null) {
            pins.done(seat.wish.token(), there, now.plus(seat.wish.window()));
        }
        if (end != End.NEITHER) {
            there.told.succeeded += end == End.GOOD ? 1 : 0;
            there.told.failed += end == End.BAD ? 1 : 0;
            if (!seat.isGuest()) {
                // By its own only: guests may be slow because their copies load, and would be lost without it.
                there.judged++;
                there.good += end == End.GOOD ? 1 : 0;
                there.pace += end == End.GOOD ? Math.min(1, pace) : 1;
            }
            step(there, now);
        }
        if (!there.listed && there.inHand == 0) {
            // The last that was taken under the older layout: its hosts need be told apart no more.
            chambers.remove(there);
            pins.forget(there);
            moved = true;
        }
    }

    /** Judges what has been answered since the last step. */
    private void step(Chamber chamber, Moment now) {
        Span since = now.since(chamber.steppedAt);
        // Few answers say little: more are waited for, but not for ever where a pool is seldom asked for.
        boolean few = chamber.judged > 0 && chamber.judged < JUDGED_LEAST && since.isShorterThan(PATIENCE);
        if (since.isShorterThan(STEP) || few && chamber.up) {
            return;
        }
        double before = chamber.away;
        double bad = chamber.judged == 0 ? Double.NaN : 1 - (double) chamber.good / chamber.judged;
        // A pool without enough hosts sends all away; one that has them again takes its functions back by and by.
        if (!chamber.up) {
            chamber.away = 1;
        } else if (bad > BAD_ABOVE) {
            chamber.away = Math.min(1, chamber.away + AWAY_UP);
        } else if (bad < GOOD_BELOW || Double.isNaN(bad)) {
            chamber.away = Math.max(0, chamber.away - AWAY_DOWN * Math.floor(since.over(STEP)));
        }
        double tense = chamber.judged == 0 ? 0 : chamber.pace / chamber.judged;
        chamber.judged = 0;
        chamber.good = 0;
        chamber.pace = 0;
        chamber.steppedAt = now;
        if (tense < CALM_BELOW) {
            chamber.calmHand += HAND_FOLLOW * (chamber.inHand - chamber.calmHand);
        }
        if (tense > TENSE_ABOVE) {
            chamber.guestShare = Math.max(GUESTS_LEAST, chamber.guestShare * GUESTS_SHRINK);
            chamber.guestsBegin = false;
        } else if (tense < CALM_BELOW && now.since(chamber.guestsLeftAt).isShorterThan(GROWS_FOR)) {
            // Doubled until it has once been too much: a pool that is lost should be served elsewhere within a second or two.
            chamber.guestShare = Math.min(1, chamber.guestsBegin ? 2 * chamber.guestShare : chamber.guestShare + GUESTS_UP);
        }
        turn(chamber, before, bad);
    }

    private void turn(Chamber chamber, double before, double bad) {
        if (chamber.pool.spillTo().isEmpty()) {
            return;
        }
        if (before <= 0 && chamber.away > 0) {
            say.accept("pool " + chamber.pool.name() + " sends functions away: " + (chamber.up
                ? Math.round(100 * bad) + "% of its answers are bad" : chamber.ready + " ready hosts, at least " + chamber.pool.least()));
        } else if (before > 0 && chamber.away <= 0) {
            say.accept("pool " + chamber.pool.name() + " has all of its functions again");
        }
    }

    // ---- layouts and hosts ----

    /**
     * From now on invocations are led so. Those in hand stay where they are.
     *
     * @return what stands in the way; none where it is done
     */
    public List<String> layouts(Blend next, Moment now) {
        List<Need> needs = new ArrayList<>();
        Layout second = next.second();
        second.pools().forEach(pool -> needs.add(new Need(pool.name(), pool)));
        if (!next.isWhole()) {
            next.first().pools().stream().filter(pool -> second.pool(pool.name()) == null
                || !second.pool(pool.name()).hosts().equals(pool.hosts())).forEach(pool -> needs.add(new Need(OLD + pool.name(), pool)));
        }
        List<Chamber> kept = new ArrayList<>();
        List<Need> fresh = new ArrayList<>();
        for (Need need : needs) {
            Chamber there = chambers.stream().filter(each -> each.pool.name().equals(need.pool.name())
                && each.pool.hosts().equals(need.pool.hosts()) && !kept.contains(each)).findFirst().orElse(null);
            if (there == null) {
                fresh.add(need);
            } else {
                kept.add(there);
            }
        }
        long stay = chambers.stream().filter(each -> kept.contains(each) || each.inHand > 0).count();
        if (stay + fresh.size() > NUMBERS) {
            return List.of("invocations of " + (stay - kept.size()) + " older pools are still in hand, and there is no room for "
                + fresh.size() + " more; try again when they have their answers");
        }
        chambers.removeIf(each -> {
            boolean gone = !kept.contains(each) && each.inHand == 0;
            if (gone) {
                pins.forget(each);
            }
            return gone;
        });
        chambers.forEach(each -> each.listed = kept.contains(each));
        for (Need need : fresh) {
            open(need.pool, now);
        }
        blend = next;
        whole = next.isWhole();
        from = next.first();
        to = second;
        // Bounds may have changed where hosts have not.
        for (Need need : needs) {
            chamber(need.name).pool = need.pool;
        }
        hosts(hosts);
        moved = true;
        return List.of();
    }

    /** @param name the pool's, with {@link #OLD} before it where only the older layout has it so */
    private record Need(String name, Pool pool) { }

    private void open(Pool pool, Moment now) {
        if (told.size() >= NAMES_MOST) {
            told.keySet().removeIf(name -> chambers.stream().noneMatch(each -> each.pool.name().equals(name)));
        }
        chambers.add(new Chamber(free(), pool, now, GUESTS_START, told.computeIfAbsent(pool.name(), any -> new Chamber.Told())));
    }

    private int free() {
        int number = 0;
        while (isTaken(number)) {
            number++;
        }
        return number;
    }

    private boolean isTaken(int number) {
        return chambers.stream().anyMatch(each -> each.number == number);
    }

    private Chamber chamber(String name) {
        boolean old = name.startsWith(OLD);
        Pool pool = old ? from.pool(name.substring(OLD.length())) : to.pool(name) != null ? to.pool(name) : from.pool(name);
        for (Chamber each : chambers) {
            if (each.listed && each.pool.name().equals(pool.name()) && each.pool.hosts().equals(pool.hosts())) {
                return each;
            }
        }
        throw new IllegalStateException("no chamber for pool " + pool.name());
    }

    /** The hosts as they are known now. */
    public void hosts(Collection<Standing> all) {
        hosts = List.copyOf(all);
        for (Chamber chamber : chambers) {
            chamber.ready = (int) Layout.ready(chamber.pool, hosts);
            boolean up = chamber.ready >= chamber.pool.least();
            if (!up && chamber.up) {
                double before = chamber.away;
                chamber.away = 1;
                chamber.up = false;
                if (chamber.begun) {
                    // Before the first list nobody has hosts, and that is nothing to tell.
                    turn(chamber, before, Double.NaN);
                }
            }
            if (up && !chamber.begun) {
                chamber.begun = true;
                chamber.away = 0;
            }
            chamber.up = up;
        }
    }

    /** The pools that a host belongs to, a bit each. */
    public long pools(String host, int zone, int kind) {
        if (to == Layout.NONE && chambers.size() == 1) {
            return EVERYWHERE;
        }
        long bits = 0;
        for (Chamber chamber : chambers) {
            bits |= chamber.pool.hosts().has(host, zone, kind) ? chamber.bit() : 0;
        }
        return bits;
    }

    /** Whether hosts may belong to other pools than at the last call of this. */
    public boolean hasMoved() {
        boolean has = moved;
        moved = false;
        return has;
    }

    // ---- what is seen from outside ----

    public Blend blend() {
        return blend;
    }

    public int inHand() {
        return inHand;
    }

    /** Repeats that could have gone elsewhere than their first, as more tokens were known than can be kept. */
    public long pinsLost() {
        return pins.lost();
    }

    /** At most so many of the invocations that came last. */
    public List<Wish> recent(int atMost) {
        List<Wish> some = new ArrayList<>();
        for (long i = takes - 1; i >= 0 && i >= takes - Math.min(atMost, recent.length); i--) {
            some.add(recent[(int) (i % recent.length)]);
        }
        return some;
    }

    /** Each pool, and each of an older layout that still has invocations in hand. */
    public List<Sight> sights() {
        return chambers.stream().sorted(Comparator.comparingInt(each -> each.number)).map(each -> new Sight(each.pool.name(), each.number,
            each.listed, each.up, each.ready, each.inHand, each.guests, each.away, each.guestShare, each.told.taken, each.told.succeeded,
            each.told.failed, each.told.came, each.told.went, each.told.turnedAway)).toList();
    }

    /** Shares of the functions named that go to another pool under the second layout: each is a load. */
    public static double moves(Layout first, Layout second, Collection<Wish> wishes) {
        Board one = still(first);
        Board other = still(second);
        Moment zero = new Moment(0);
        long moved = wishes.stream().filter(wish -> {
            Pool before = first.pool(one.route(wish, zero));
            Pool after = second.pool(other.route(wish, zero));
            return !before.hosts().equals(after.hosts());
        }).count();
        return wishes.isEmpty() ? 0 : (double) moved / wishes.size();
    }

    private static Board still(Layout layout) {
        Board board = new Board(1, new Random(0), new Moment(0), line -> { });
        board.layouts(Blend.of(layout), new Moment(0));
        return board;
    }
}
