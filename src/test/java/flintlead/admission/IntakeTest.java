package flintlead.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.admission.Intake.Bounds;
import flintlead.admission.Intake.Source;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** No bound is ever passed, and no client can leave another without room. */
class IntakeTest {

    private static Bounds bounds(int taken, double share) {
        return new Bounds(taken, 1_000_000, share, 10, 10_000, 1_000, 5_000, Span.ofMillis(100));
    }

    @Property(tries = 300, seed = "4714")
    void boundsHoldAndAllIsGivenBack(@ForAll @IntRange(min = 1, max = 50) int most,
                                     @ForAll @DoubleRange(min = 0.1, max = 10) double share, @ForAll long seed) {
        Intake intake = new Intake(bounds(most, share), new Random(seed));
        Random random = new Random(seed);
        List<Source> sources = List.of(new Source(), new Source(), new Source());
        List<Object[]> in = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            if (random.nextInt(3) > 0) {
                Source source = sources.get(random.nextInt(3));
                long size = random.nextInt(60_000);
                if (intake.take(source, size)) {
                    in.add(new Object[] {source, size});
                }
            } else if (!in.isEmpty()) {
                Object[] out = in.remove(random.nextInt(in.size()));
                intake.done((Source) out[0], (Long) out[1]);
            }
            assertTrue(intake.taken() <= most && intake.bytes() <= 1_000_000);
            assertEquals(in.size(), intake.taken());
            assertEquals(intake.taken(), sources.stream().mapToInt(Source::calls).sum());
        }
        in.forEach(out -> intake.done((Source) out[0], (Long) out[1]));
        assertEquals(0, intake.taken() + intake.bytes());
    }

    /** With a share of 4, one source alone fills four fifths; ten thousand of its calls leave room for ten. */
    @Test
    void aGreedySourceLeavesRoomForTheNext() {
        Intake intake = new Intake(bounds(1_000, 4), new Random(1));
        Source greedy = new Source();
        int got = 0;
        for (int i = 0; i < 10_000; i++) {
            got += intake.take(greedy, 1) ? 1 : 0;
        }
        assertEquals(800, got);
        Source modest = new Source();
        for (int i = 0; i < 10; i++) {
            assertTrue(intake.take(modest, 1), "call " + i + " of a modest client beside a greedy one");
        }
    }

    @Test
    void aWindowThatFilledIsReadAgainOnlyBelowThreeQuarters() {
        Intake intake = new Intake(bounds(1_000, 100), new Random(1));
        Source source = new Source();
        for (int i = 0; i < 9; i++) {
            assertTrue(intake.take(source, 1));
            assertTrue(intake.reads(source));
        }
        intake.take(source, 1);
        assertFalse(intake.reads(source));
        intake.done(source, 1);
        intake.done(source, 1);
        assertFalse(intake.reads(source), "8 of 10 left: not yet");
        intake.done(source, 1);
        assertTrue(intake.reads(source));
    }

    @Test
    void oneThatLeavesAnswersUnreadIsHeldBackThenCutOff() {
        Intake intake = new Intake(bounds(1_000, 4), new Random(1));
        Source source = new Source();
        intake.unsent(source, 1_000, new Moment(0));
        assertFalse(intake.reads(source));
        assertFalse(intake.cutOff(source, new Moment(100_000)));
        assertTrue(intake.cutOff(source, new Moment(100_001)));
        intake.unsent(source, 900, new Moment(100_001));
        assertFalse(intake.cutOff(source, new Moment(150_000)), "it has read something: patience begins anew");
        intake.unsent(source, 5_001, new Moment(100_002));
        assertTrue(intake.cutOff(source, new Moment(100_002)), "over the most at once");
        intake.unsent(source, 0, new Moment(100_003));
        assertTrue(intake.reads(source) && !intake.cutOff(source, new Moment(9_000_000)));
    }

    @Test
    void theFullerTheLaterOnesComeBack() {
        Intake intake = new Intake(bounds(10, 100), new Random(1));
        Span empty = intake.comeBack();
        Source source = new Source();
        while (intake.take(source, 1)) {
            assertTrue(intake.taken() <= 10);
        }
        assertTrue(empty.micros() <= 200_000 && intake.comeBack().micros() >= 300_000);
    }

    @Test
    void anIdleConnectionMakesRoomAndABusyOneNever() {
        Doorkeeper<String> door = new Doorkeeper<>(2, Span.ofMillis(10));
        Doorkeeper<String>.Guest first = door.enter("first", new Moment(0));
        Doorkeeper<String>.Guest second = door.enter("second", new Moment(1));
        assertFalse(door.admits(new Moment(9_000)), "nobody has been idle for long enough");
        assertSame(first, door.toClose(new Moment(10_000)));
        door.busy(first, true, new Moment(10_000));
        assertNull(door.toClose(new Moment(10_000)));
        assertSame(second, door.toClose(new Moment(10_001)));
        door.busy(first, false, new Moment(20_000));
        door.busy(second, true, new Moment(20_000));
        assertFalse(door.admits(new Moment(29_999)), "idle time runs from its last answer");
        door.leave(second);
        assertTrue(door.admits(new Moment(20_001)));
    }
}
