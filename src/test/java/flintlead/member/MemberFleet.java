package flintlead.member;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Many members in one thread with a network that loses, cuts and delays; letters go through their bytes. */
final class MemberFleet {

    final class One implements Swim.Carrier {
        final String name;
        final int index;
        Swim swim;
        boolean up;
        Moment stillUntil = new Moment(0);
        int life;
        long alarm;
        long bytes;
        long letters;
        final List<String> changes = new ArrayList<>();
        final Map<String, Moment> deadAt = new HashMap<>();

        One(int index) {
            this.index = index;
            this.name = "gw-" + index;
        }

        void start() {
            life++;
            up = true;
            swim = new Swim(new Member(name, name, index, ++incarnations, Member.State.ALIVE), List.of("gw-0", "gw-1"), rhythm,
                this, new Random(seed * 1_000_003 + index * 31L + life));
            swim.begin(now);
        }

        void kill() {
            up = false;
            life++;
        }

        @Override
        public void send(String address, Letter letter) {
            byte[] written = LetterCode.write(letter);
            bytes += written.length;
            letters++;
            One to = byName.get(address);
            if (to == null || random.nextDouble() < loss || side(this) != side(to)) {
                return;
            }
            long way = 200 + random.nextInt(800);
            int itsLife = to.life;
            later(now.plus(new Span(way)), to, () -> {
                if (to.up && to.life == itsLife) {
                    to.swim.heard(LetterCode.read(written), now);
                }
            });
        }

        @Override
        public void wakeAt(Moment when) {
            long mine = ++alarm;
            int itsLife = life;
            later(when, this, () -> {
                if (up && life == itsLife && alarm == mine) {
                    swim.wake(now);
                }
            });
        }

        @Override
        public void changed(Member before, Member after, String why) {
            changes.add(after.name() + " " + after.state() + " " + why);
            if (after.state() == Member.State.DEAD) {
                deadAt.put(after.name(), now);
                deaths++;
                if (byName.get(after.name()).up) {
                    wrongDeaths++;
                }
            }
        }

        @Override
        public void word(Member from, Letter.Kind kind, byte[] word) {
            changes.add("word of " + from.name() + " " + word.length);
        }
    }

    private record Event(long at, long order, One place, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    final Rhythm rhythm;
    final long seed;
    final Random random;
    final List<One> all = new ArrayList<>();
    final Map<String, One> byName = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    Moment now = new Moment(1_000_000_000);
    double loss;
    /** Members with a number below go to one side of a cut, the others to the other; 0 for none. */
    int cutBelow;
    long deaths;
    long wrongDeaths;
    private long incarnations = 100;
    private long count;

    MemberFleet(int size, Rhythm rhythm, long seed) {
        this.rhythm = rhythm;
        this.seed = seed;
        this.random = new Random(seed);
        for (int i = 0; i < size; i++) {
            One one = new One(i);
            all.add(one);
            byName.put(one.name, one);
        }
    }

    private int side(One one) {
        return one.index < cutBelow ? 1 : 0;
    }

    void later(Moment at, One place, Runnable task) {
        events.add(new Event(Math.max(at.micros(), now.micros()), count++, place, task));
    }

    void startAll() {
        for (One one : all) {
            later(now.plus(new Span(random.nextInt(1_000_000))), one, one::start);
        }
    }

    void run(Span span) {
        Moment end = now.plus(span);
        while (!events.isEmpty() && events.peek().at <= end.micros()) {
            Event event = events.poll();
            if (event.place != null && event.at < event.place.stillUntil.micros()) {
                // Its kernel keeps what comes; timers are late.
                events.add(new Event(event.place.stillUntil.micros(), event.order, event.place, event.task));
                continue;
            }
            now = new Moment(event.at);
            event.task.run();
        }
        now = end;
    }

    /** Runs until it holds, at most for the span; how long it took, or null. */
    Span until(java.util.function.BooleanSupplier holds, Span most) {
        Moment begin = now;
        while (now.since(begin).isShorterThan(most)) {
            if (holds.getAsBoolean()) {
                return now.since(begin);
            }
            run(Span.ofMillis(50));
        }
        return holds.getAsBoolean() ? now.since(begin) : null;
    }

    /** Whether all that are up see exactly those that are up. */
    boolean agrees() {
        for (One one : all) {
            if (one.up) {
                for (One other : all) {
                    if (other != one) {
                        Member seen = one.swim.others().stream().filter(each -> each.name().equals(other.name)).findFirst()
                            .orElse(null);
                        if ((seen != null && seen.isThere()) != other.up) {
                            return false;
                        }
                    }
                }
            }
        }
        return true;
    }
}
