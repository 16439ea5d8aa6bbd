package flintlead.dial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.dial.Paths.State;
import flintlead.dial.Paths.Symptom;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Which address, when, and when not; and whether silence means anything. */
class PathsTest {

    private static Moment at(double millis) {
        return new Moment(1_000_000_000).plus(Span.ofMillis(millis));
    }

    private static Paths<String> paths(String... ordered) {
        return new Paths<>(List.of(ordered), address -> address.charAt(0), new Random(1));
    }

    @Test
    void familiesTakeTurns() {
        assertEquals(List.of("6a", "4a", "u", "6b", "4b"), paths("6a", "6b", "4a", "4b", "u").addresses());
    }

    @Test
    void attemptsAreStaggeredAndAFailureLetsTheNextGoOnce() {
        Paths<String> paths = paths("6", "4", "u");
        assertEquals("6", paths.next(at(0), List.of(), true));
        paths.started("6", at(0));
        assertNull(paths.next(at(49), List.of("6"), true));
        assertEquals(at(50), paths.nextAt(at(10), List.of("6")));
        assertEquals("4", paths.next(at(50), List.of("6"), true));
        paths.failed("6", Symptom.REFUSED, at(10));
        assertEquals("4", paths.next(at(10), List.of(), true), "with none being dialled there is nothing to wait for");
    }

    @Test
    void theLastThatWorkedGoesFirst() {
        Paths<String> paths = paths("6", "4");
        paths.opened("4", at(0));
        assertEquals("4", paths.next(at(1), List.of(), true));
        paths.failed("4", Symptom.RESET, at(2));
        assertEquals("6", paths.next(at(500), List.of(), true), "one that has just failed comes last");
    }

    @Test
    void waitsDoubleUpToABoundAndAreSpread() {
        Paths<String> paths = paths("a");
        Span longest = Span.ZERO;
        Moment now = at(0);
        for (int i = 0; i < 20; i++) {
            paths.failed("a", Symptom.REFUSED, now);
            Moment next = paths.nextAt(now, List.of());
            Span wait = next.since(now);
            assertTrue(wait.micros() >= 25_000 * Math.min(100, 1L << Math.min(i, 6)) && wait.micros() <= 5_000_000);
            assertNull(paths.next(next.minus(new Span(1)), List.of(), true));
            longest = Span.longer(longest, wait);
            now = next;
        }
        assertTrue(longest.micros() > 2_500_000);
        paths.failed("a", Symptom.WRONG_HOST, now);
        assertTrue(paths.nextAt(now, List.of()).since(now).micros() >= 15_000_000);
    }

    /** One that comes and goes is returned to ever more seldom. */
    @Test
    void aFlappingAddressServesEverLongerProbations() {
        Paths<String> paths = paths("a", "b");
        paths.opened("b", at(0));
        Moment now = at(0);
        Span before = Span.ZERO;
        paths.opened("a", now);
        for (int i = 0; i < 6; i++) {
            paths.failed("a", Symptom.RESET, now);
            now = now.plus(Span.ofMillis(10));
            paths.opened("a", now);
            assertEquals(State.PROBATION, paths.state("a"));
            assertFalse(paths.serves("a", List.of("a", "b")), "b is up");
            Moment since = now;
            while (!paths.heard("a", now)) {
                now = now.plus(Span.ofMillis(100));
            }
            Span probation = now.since(since);
            assertTrue(probation.isLongerThan(before), probation + " after " + before);
            before = probation;
        }
        assertTrue(paths.serves("a", List.of("a", "b")));
        paths.failed("a", Symptom.RESET, now);
        paths.failed("b", Symptom.RESET, now);
        paths.opened("a", now);
        assertTrue(paths.serves("a", List.of("a")), "on probation, but there is no other");
    }

    /** Whatever happens: never dialled before its time, never two dials closer than the stagger, always one in the end. */
    @Property(tries = 300, seed = "21")
    void noAddressIsStormedAndNoneIsForgotten(@ForAll long seed) {
        Random random = new Random(seed);
        Paths<String> paths = new Paths<>(List.of("6", "4", "u"), address -> address, random);
        List<String> busy = new ArrayList<>();
        Moment now = at(0);
        Moment lastStart = null;
        for (int i = 0; i < 500; i++) {
            now = now.plus(new Span(random.nextInt(40_000)));
            String next = paths.next(now, busy, random.nextBoolean());
            if (next != null) {
                assertFalse(busy.contains(next));
                assertTrue(busy.isEmpty() || !now.since(lastStart).isShorterThan(Paths.STAGGER));
                busy.add(next);
                paths.started(next, now);
                lastStart = now;
            }
            if (!busy.isEmpty() && random.nextInt(3) == 0) {
                String one = busy.get(random.nextInt(busy.size()));
                switch (random.nextInt(4)) {
                    case 0 -> paths.opened(one, now);
                    case 1 -> paths.heard(one, now);
                    case 2 -> paths.suspect(one);
                    default -> {
                        busy.remove(one);
                        paths.failed(one, Symptom.values()[random.nextInt(4)], now);
                    }
                }
            }
            if (busy.isEmpty()) {
                assertTrue(!paths.nextAt(now, busy).isAfter(now.plus(Span.ofMillis(5_000))));
            }
        }
        assertNotNull(paths.next(now.plus(Span.ofMillis(5_000)), List.of(), true));
    }

    @Test
    void silenceIsAskedAboutAndThenDoubted() {
        Pulse pulse = new Pulse();
        pulse.sent(at(0));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(30), true));
        assertEquals(Pulse.Verdict.PING, pulse.look(at(45), true));
        pulse.pinged(at(45));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(60), true));
        pulse.ponged(at(61));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(90), true), "an invocation may take its time");
        pulse.look(at(102), true);
        pulse.pinged(at(102));
        for (int i = 110; i < 102 + 80; i += 15) {
            pulse.look(at(i), true);
        }
        assertEquals(Pulse.Verdict.SUSPECT, pulse.look(at(183), true));
        pulse.heard(at(190));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(195), true));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(900), false), "nothing is awaited");
    }

    @Test
    void anOwnStallIsNobodysSilence() {
        Pulse pulse = new Pulse();
        pulse.sent(at(0));
        pulse.look(at(45), true);
        pulse.pinged(at(45));
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(545), true), "it stood still for half a second");
        assertEquals(Pulse.Verdict.FINE, pulse.look(at(560), true));
        assertEquals(Pulse.Verdict.PING, pulse.look(at(590), true));
    }

    /** 300 gateways and a zone of hosts that comes back: how many connections a host is asked for in its worst 100 ms. */
    @Test
    void aZoneThatReturnsIsNotStormed() {
        int[] worst = new int[2];
        for (int careful = 0; careful < 2; careful++) {
            int[][] asked = new int[85][200];
            for (int gateway = 0; gateway < 300; gateway++) {
                Random random = new Random(gateway);
                DialBudget budget = new DialBudget(2_048, 20);
                List<Paths<String>> all = new ArrayList<>();
                for (int host = 0; host < 85; host++) {
                    Paths<String> paths = new Paths<>(List.of("a"), address -> address, random);
                    paths.failed("a", Symptom.REFUSED, at(0));
                    all.add(paths);
                }
                int next = random.nextInt(85);
                boolean[] open = new boolean[85];
                for (int tick = 0; tick < 2_000; tick++) {
                    for (int i = 0; i < 85; i++) {
                        int host = (next + i) % 85;
                        boolean may = careful == 0 ? tick == 0
                            : all.get(host).next(at(tick * 10), List.of(), true) != null && budget.open(at(tick * 10), 0);
                        if (!open[host] && may) {
                            open[host] = true;
                            asked[host][Math.min(199, tick / 10)]++;
                        }
                    }
                }
            }
            for (int[] host : asked) {
                for (int in : host) {
                    worst[careful] = Math.max(worst[careful], in);
                }
            }
        }
        System.out.println("dials at one host in its worst 100 ms: " + worst[1] + ", a naive pool: " + worst[0]);
        assertTrue(worst[0] == 300 && worst[1] <= 100, worst[1] + " and " + worst[0]);
    }

    @Test
    void theBudgetBoundsRateAndNumber() {
        DialBudget budget = new DialBudget(10, 20);
        int opened = 0;
        for (int i = 0; i < 1_000; i++) {
            opened += budget.open(at(i), 0) ? 1 : 0;
        }
        assertTrue(opened >= 28 && opened <= 31, opened + " in a second: 10 at once and 20 more");
        assertFalse(budget.open(at(5_000), 10));
        assertTrue(budget.sheds(at(5_000), 10) && !budget.sheds(at(5_000), 9));
        budget.exhausted(at(5_000));
        assertFalse(budget.open(at(5_100), 0));
        assertTrue(budget.sheds(at(5_100), 0) && budget.open(at(5_201), 0));
    }
}
