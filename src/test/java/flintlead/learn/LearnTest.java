package flintlead.learn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Facts come whole or not at all, as old as they are, from whoever still answers; nobody is made a server of them. */
class LearnTest {

    private static final Span FRESH = Span.ofMillis(5_000);

    /** Teachers and one pupil with a network between them, in virtual time. */
    private static final class Room implements Pupil.Carrier {
        private record Event(long at, long order, Runnable task) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                int byTime = Long.compare(at, other.at);
                return byTime != 0 ? byTime : Long.compare(order, other.order);
            }
        }

        final Map<String, Teacher> teachers = new HashMap<>();
        final Set<String> silent = new HashSet<>();
        final Map<String, byte[]> lies = new HashMap<>();
        final List<Fact> learnt = new ArrayList<>();
        final Map<String, Integer> asked = new HashMap<>();
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Random random;
        final Pupil pupil;
        final String name;
        Moment now;
        double loss;
        Span way = Span.ofMillis(1);
        long count;
        long alarm;
        String over;

        Room(String name, long seed, Moment now) {
            this.name = name;
            this.now = now;
            this.random = new Random(seed);
            this.pupil = new Pupil(Pupil.Patience.USUAL, this, new Random(seed + 1));
        }

        void later(Span span, Runnable task) {
            events.add(new Event(now.plus(span).micros(), count++, task));
        }

        @Override
        public void ask(String peer, byte[] question) {
            asked.merge(peer, 1, Integer::sum);
            if (random.nextDouble() < loss) {
                return;
            }
            later(way, () -> {
                if (silent.contains(peer)) {
                    return;
                }
                byte[] lesson = lies.containsKey(peer) ? lies.get(peer) : teachers.get(peer).answer(name, question, now);
                if (lesson != null && random.nextDouble() >= loss) {
                    later(way, () -> pupil.heard(peer, lesson, now));
                }
            });
        }

        @Override
        public void learnt(String peer, List<Fact> facts) {
            learnt.addAll(facts);
        }

        @Override
        public void wakeAt(Moment when) {
            long mine = ++alarm;
            later(Span.longer(Span.ZERO, when.since(now)), () -> {
                if (alarm == mine) {
                    pupil.wake(now);
                }
            });
        }

        @Override
        public void over(String how) {
            over = how;
        }

        void run(Span span) {
            Moment end = now.plus(span);
            while (!events.isEmpty() && events.peek().at <= end.micros()) {
                Event event = events.poll();
                now = new Moment(event.at);
                event.task.run();
            }
            now = end;
        }
    }

    private static List<Fact> facts(int many, long seed) {
        Random random = new Random(seed);
        Set<Fact> facts = new HashSet<>();
        while (facts.size() < many) {
            facts.add(new Fact(random.nextLong(), random.nextInt(90), 1 + random.nextInt(3), Span.ofMillis(random.nextInt(9_000))));
        }
        return new ArrayList<>(facts);
    }

    private static Room room(int teachers, List<Fact> facts, long seed) {
        Moment begin = new Moment(1_000_000_000);
        Room room = new Room("new", seed, begin.plus(FRESH));
        List<String> names = new ArrayList<>();
        for (int i = 0; i < teachers; i++) {
            room.teachers.put("t" + i, new Teacher(Teacher.Ration.USUAL, () -> facts, begin, FRESH));
            names.add("t" + i);
        }
        room.pupil.begin(room.now);
        room.pupil.peers(names, room.now);
        return room;
    }

    private static Set<String> keys(List<Fact> facts) {
        Set<String> keys = new HashSet<>();
        facts.forEach(each -> keys.add(each.function() + "@" + each.host() + "x" + each.copies()));
        return keys;
    }

    /** Whatever is lost on the way, each fact comes exactly once and never younger than it is. */
    @Property(tries = 60, seed = "4815")
    void allComesOnceWhateverIsLost(@ForAll @IntRange(max = 600) int many, @ForAll long seed, @ForAll @IntRange(max = 3) int lossTenths) {
        List<Fact> facts = facts(many, seed);
        Room room = room(3, facts, seed);
        room.loss = lossTenths / 10.0;
        room.run(Span.ofMillis(9_900));
        if (lossTenths == 0) {
            assertNotNull(room.over);
        }
        if (room.over != null && room.over.startsWith("all")) {
            assertEquals(facts.size(), room.learnt.size());
            assertEquals(keys(facts), keys(room.learnt));
        }
        assertEquals(room.learnt.size(), keys(room.learnt).size(), "none twice");
        Map<String, Fact> truth = new HashMap<>();
        facts.forEach(each -> truth.put(each.function() + "@" + each.host(), each));
        for (Fact each : room.learnt) {
            assertTrue(!each.age().isShorterThan(truth.get(each.function() + "@" + each.host()).age()), "younger than it is");
        }
    }

    @Test
    void twoTeachHalfEachWhileBothAnswer() {
        Room room = room(2, facts(1_000, 1), 1);
        room.run(Span.ofMillis(1_000));
        assertTrue(room.over.startsWith("all learnt: 1000"), room.over);
        assertTrue(room.asked.get("t0") > 5 && room.asked.get("t1") > 5, room.asked.toString());
    }

    @Test
    void whereOneStopsAnotherGoesOnFromThere() {
        List<Fact> facts = facts(2_000, 2);
        Room room = room(3, facts, 2);
        room.run(Span.ofMillis(12));
        int before = room.learnt.size();
        assertTrue(before > 0 && before < 2_000, before + " before");
        room.silent.add("t0");
        room.silent.add("t1");
        room.run(Span.ofMillis(5_000));
        assertEquals(keys(facts), keys(room.learnt));
        assertEquals(2_000, room.learnt.size());
    }

    @Test
    void oneThatLiesIsLeft() {
        List<Fact> facts = facts(300, 3);
        for (byte[] lie : new byte[][] {new byte[0], new byte[40], new byte[900]}) {
            Room room = room(2, facts, 3);
            room.lies.put("t0", lie);
            room.run(Span.ofMillis(3_000));
            assertEquals(keys(facts), keys(room.learnt));
        }
    }

    @Test
    void factsAreOlderByAllOfTheWay() {
        List<Fact> facts = facts(200, 8);
        Room room = room(2, facts, 8);
        room.way = Span.ofMillis(45);
        room.run(Span.ofMillis(5_000));
        Map<String, Fact> truth = new HashMap<>();
        facts.forEach(each -> truth.put(each.function() + "@" + each.host(), each));
        assertEquals(200, room.learnt.size());
        for (Fact each : room.learnt) {
            Span since = each.age().minus(truth.get(each.function() + "@" + each.host()).age());
            assertTrue(!since.isShorterThan(Span.ofMillis(45)), since.toString());
        }
    }

    /** A page out of order could make a transfer go round for ever. */
    @Test
    void aPageOutOfOrderIsNotBelieved() {
        Room room = room(1, facts(10, 4), 4);
        List<byte[]> questions = new ArrayList<>();
        Pupil pupil = new Pupil(Pupil.Patience.USUAL, new Pupil.Carrier() {
            @Override
            public void ask(String peer, byte[] question) {
                questions.add(question);
            }

            @Override
            public void learnt(String peer, List<Fact> facts) {
                room.learnt.addAll(facts);
            }

            @Override
            public void wakeAt(Moment when) {
                // By hand here.
            }

            @Override
            public void over(String how) {
                room.over = how;
            }
        }, new Random(1));
        pupil.begin(room.now);
        pupil.peers(List.of("x"), room.now);
        pupil.wake(room.now.plus(Span.ofMillis(400)));
        Question question = Question.read(questions.get(questions.size() - 1));
        Fact high = new Fact(8 + question.half(), 1, 1, Span.ZERO);
        Fact low = new Fact(2 + question.half(), 1, 1, Span.ZERO);
        pupil.heard("x", new Lesson(question.number(), Lesson.Kind.LAST, List.of(high, low)).write(),
            room.now.plus(Span.ofMillis(500)));
        assertEquals(List.of(), room.learnt);
    }

    @Test
    void oneThatHasJustBegunTeachesNobody() {
        List<Fact> facts = facts(10, 5);
        Teacher fresh = new Teacher(Teacher.Ration.USUAL, () -> facts, new Moment(1_000_000), FRESH);
        Lesson lesson = Lesson.read(fresh.answer("p", new Question(1, 0, 0, 0).write(), new Moment(5_999_999)));
        assertEquals(Lesson.Kind.FRESH, lesson.kind());
        assertEquals(Lesson.Kind.LAST, Lesson.read(fresh.answer("p", new Question(1, 0, 0, 0).write(), new Moment(6_000_001))).kind());
    }

    /** Half a fleet that restarts: what is left teaches two at a time, within its pages a second, and answers all. */
    @Test
    void manyPupilsDoNotMakeAServer() {
        List<Fact> facts = facts(5_000, 6);
        int[] gathered = {0};
        Moment begin = new Moment(1_000_000_000);
        Teacher teacher = new Teacher(Teacher.Ration.USUAL, () -> {
            gathered[0]++;
            return facts;
        }, begin, FRESH);
        Moment now = begin.plus(FRESH);
        int pages = 0;
        Set<Integer> served = new HashSet<>();
        for (int i = 0; i < 10_000; i++) {
            now = now.plus(Span.ofMillis(1));
            Lesson lesson = Lesson.read(teacher.answer("p" + i % 150, new Question(i, 0, 0, 0).write(), now));
            pages += lesson.kind() == Lesson.Kind.BUSY ? 0 : 1;
            if (lesson.kind() != Lesson.Kind.BUSY) {
                served.add(i % 150);
            }
        }
        assertTrue(pages <= 10 * Teacher.Ration.USUAL.pages() + Teacher.Ration.USUAL.pages(), pages + " pages in 10 s");
        assertEquals(Teacher.Ration.USUAL.pupils(), served.size(), "those who came first are taught to their end");
        assertTrue(gathered[0] <= 21, gathered[0] + " times gathered");
        assertTrue(teacher.turnedAway() > 8_000);
    }

    @Test
    void withNobodyToAskItEndsInItsTime() {
        Room room = room(2, facts(10, 7), 7);
        room.silent.addAll(List.of("t0", "t1"));
        room.run(Span.ofMillis(10_001));
        assertTrue(room.over.startsWith("time is up"), String.valueOf(room.over));
        assertTrue(room.asked.values().stream().mapToInt(Integer::intValue).sum() < 200, room.asked.toString());
    }

    @Property(seed = "4816")
    void pagesComeOutAsTheyWentIn(@ForAll @IntRange(max = 49) int many, @ForAll long seed) {
        List<Fact> facts = facts(many, seed);
        Lesson lesson = Lesson.read(new Lesson(seed, Lesson.Kind.MORE, facts).write());
        assertEquals(keys(facts), keys(lesson.facts()));
        assertTrue(new Lesson(seed, Lesson.Kind.MORE, facts(Lesson.FACTS_MOST, 1)).write().length <= Lesson.BYTES_MOST);
    }

    @Property(seed = "4817")
    void bytesThatAreNothingAreRefused(@ForAll byte[] bytes) {
        try {
            Lesson.read(bytes);
        } catch (IllegalArgumentException e) {
            assertNotNull(e.getMessage());
        }
        Teacher teacher = new Teacher(Teacher.Ration.USUAL, List::of, new Moment(0), FRESH);
        byte[] answer = teacher.answer("p", bytes, new Moment(10_000_000));
        if (bytes.length < 26) {
            assertNull(answer);
        }
    }
}
