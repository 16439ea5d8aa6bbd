package flintlead.lab;

import flintlead.day.Plan;
import flintlead.day.Trouble;
import flintlead.time.Span;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;

/**
 * Looks for a day on which something goes wrong: fault schedules by chance, in each of which only some kinds are switched
 * on (swarm testing; Groce et al., 2012), on all cores. What is found is cut down to the troubles that it needs.
 */
public final class Swarm {

    /** A day on which something went wrong, as small as it could be made. */
    public record Found(Plan plan, long seed, String wrong) { }

    /** How it went. */
    public record Search(int days, long events, Found found) { }

    private static final int TROUBLES_MOST = 8;
    private static final int SHRINK_MOST = 200;

    private final Plan base;
    private final BiFunction<Plan, Long, Lab.Run> player;

    /** Searches by runs in virtual time. */
    public Swarm(Plan base) {
        this(base, (plan, seed) -> {
            try {
                return Lab.run(plan, seed);
            } catch (IOException e) {
                return new Lab.Run(null, 0, 0, e.toString());
            }
        });
    }

    Swarm(Plan base, BiFunction<Plan, Long, Lab.Run> player) {
        this.base = base;
        this.player = player;
    }

    /** Searches until the time is up, the number of days is reached, or something is found. */
    public Search search(long firstSeed, int days, Span time, int threads) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger played = new AtomicInteger();
        AtomicLong events = new AtomicLong();
        AtomicReference<Found> found = new AtomicReference<>();
        long end = System.nanoTime() + time.micros() * 1000;
        for (int i = 0; i < threads; i++) {
            pool.execute(() -> {
                for (int n = next.getAndIncrement(); n < days && found.get() == null && System.nanoTime() < end;
                     n = next.getAndIncrement()) {
                    long seed = firstSeed + n;
                    Plan plan = draw(seed);
                    Lab.Run run = play(plan, seed);
                    played.incrementAndGet();
                    events.addAndGet(run.events());
                    if (run.wrong() != null) {
                        found.compareAndSet(null, new Found(plan, seed, run.wrong()));
                    }
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(time.micros() * 2 + 60_000_000, TimeUnit.MICROSECONDS);
        Found first = found.get();
        return new Search(played.get(), events.get(), first == null ? null : shrink(first));
    }

    private Lab.Run play(Plan plan, long seed) {
        return player.apply(plan, seed);
    }

    /** A schedule by chance: first which kinds there are, then when, whom and how badly. */
    Plan draw(long seed) {
        Random random = new Random(seed);
        List<Trouble.Kind> on = new ArrayList<>();
        for (Trouble.Kind kind : Trouble.Kind.values()) {
            if (random.nextInt(3) == 0 && (!kind.needsRegistry() || base.registry() != null)) {
                on.add(kind);
            }
        }
        List<Trouble> troubles = new ArrayList<>();
        int many = on.isEmpty() ? 0 : 1 + random.nextInt(TROUBLES_MOST);
        for (int i = 0; i < many; i++) {
            Trouble.Kind kind = on.get(random.nextInt(on.size()));
            double size = switch (kind) {
                case BURST -> 1 + 2 * random.nextDouble();
                case AGEING -> 2 + 15 * random.nextDouble();
                case STORE_SLOW -> 1 + 4 * random.nextDouble();
                case NET_SLOW -> 1 + 100 * random.nextDouble();
                case NET_LOSS -> 0.3 * random.nextDouble();
                default -> random.nextDouble();
            };
            Span at = base.lasts().times(0.9 * random.nextDouble());
            troubles.add(new Trouble(kind, at, base.lasts().times(0.05 + 0.3 * random.nextDouble()),
                0.05 + 0.6 * random.nextDouble(), size, Span.ofMillis(50 + random.nextInt(800))));
        }
        return base.with(troubles);
    }

    /** Leaves out troubles, then halves what is left, as long as something still goes wrong. */
    private Found shrink(Found first) {
        Found least = first;
        int tries = 0;
        boolean smaller = true;
        while (smaller && tries < SHRINK_MOST) {
            smaller = false;
            List<Trouble> now = least.plan.troubles();
            for (int i = 0; i < now.size() && tries < SHRINK_MOST && !smaller; i++) {
                List<Trouble> fewer = new ArrayList<>(now);
                fewer.remove(i);
                Found found = again(least, fewer);
                tries++;
                if (found != null) {
                    least = found;
                    smaller = true;
                }
            }
        }
        for (int i = 0; i < least.plan.troubles().size() && tries < SHRINK_MOST; i++) {
            Trouble one = least.plan.troubles().get(i);
            List<Trouble> milder = new ArrayList<>(least.plan.troubles());
            milder.set(i, new Trouble(one.kind(), one.at(), one.lasts().times(0.5), one.part(), one.size(), one.length()));
            Found found = again(least, milder);
            tries++;
            least = found == null ? least : found;
        }
        return least;
    }

    private Found again(Found before, List<Trouble> troubles) {
        Plan plan = before.plan.with(troubles);
        String wrong = play(plan, before.seed).wrong();
        return wrong == null ? null : new Found(plan, before.seed, wrong);
    }

    /** The day as a file that can be played again. */
    public static String file(Found found) {
        Plan plan = found.plan;
        StringBuilder text = new StringBuilder("# seed ").append(found.seed).append(": ").append(found.wrong).append('\n')
            .append("name: found-").append(found.seed).append('\n').append(plan.head()).append("troubles:\n");
        for (Trouble each : plan.troubles()) {
            text.append(String.format(Locale.ROOT, "  - {kind: %s, at: %dus, for: %dus, part: %s, size: %s, length: %dus}%n",
                each.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'), each.at().micros(), each.lasts().micros(),
                each.part(), each.size(), each.length().micros()));
        }
        return plan.troubles().isEmpty() ? text.toString().replace("troubles:\n", "") : text.toString();
    }
}
