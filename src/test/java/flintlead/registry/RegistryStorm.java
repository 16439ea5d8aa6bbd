package flintlead.registry;

import flintlead.loop.Address;
import flintlead.netty.NettyLoop;
import flintlead.standin.RegistryStandIn;
import flintlead.time.Span;
import flintlead.watch.Change;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Many followers of one registry under faults by seed, and a checker that compares what each applied with what the
 * registry made. Its main is the long run, out of CI: clients, changes, seed.
 */
final class RegistryStorm {

    static final String PREFIX = "flintlead/hosts/";

    /** What one client applied, and what was wrong with it. */
    private final class Client implements RegistryHosts.Witness {
        final int number;
        TreeMap<String, String> view = new TreeMap<>();
        String cluster;
        long revision;
        RegistryHosts hosts;

        Client(int number) {
            this.number = number;
        }

        @Override
        public void applied(String of, long at, List<Change> changes) {
            if (changes.isEmpty()) {
                return;
            }
            applied += changes.size();
            if (at <= revision) {
                wrong.add(number + " applied " + at + " after " + revision);
            }
            for (Change change : changes) {
                if (change.value() == null) {
                    view.remove(change.key());
                } else {
                    view.put(change.key(), change.value());
                }
                Long made = madeAt.get(change.key() + change.value());
                if (made != null && made > 0) {
                    lag.recordValue(Math.max(0, Math.min(60_000_000L, NettyLoop.clock().micros() - made)));
                }
            }
            missed(at);
            revision = at;
        }

        /** Between two applied revisions lies none that the registry made; and the view is what it held. */
        private void missed(long at) {
            Map<String, String> held = heldAt.get(key(cluster, at));
            if (held != null && !held.equals(view)) {
                wrong.add(number + " holds " + view.size() + " keys at " + at + ", the registry held " + held.size());
            }
            if (terms.protocol() == RegistryTerms.Protocol.ETCD) {
                for (long between = revision + 1; between < at; between++) {
                    if (heldAt.containsKey(key(cluster, between))) {
                        wrong.add(number + " missed " + between + " between " + revision + " and " + at);
                    }
                }
            }
        }

        @Override
        public void replaced(String of, long at, Map<String, String> all, String why) {
            rereads++;
            view = new TreeMap<>(all);
            cluster = of;
            revision = at;
        }
    }

    final List<String> wrong = new ArrayList<>();
    final Histogram lag = new Histogram(60_000_000L, 3);
    long applied;
    long rereads;
    long bytes;
    long requests;
    int worstSecond;
    private final Map<String, Map<String, String>> heldAt = new HashMap<>();
    private final Map<String, Long> madeAt = new HashMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final NettyLoop loop = new NettyLoop("storm");
    private final Random random;
    private final RegistryTerms terms;
    private final RegistryStandIn registry;
    private int made;

    RegistryStorm(RegistryTerms.Protocol protocol, long seed) throws IOException {
        random = new Random(seed);
        registry = new RegistryStandIn(new Address.Tcp("127.0.0.1", 0), loop);
        registry.start();
        registry.fragments = 2;
        terms = new RegistryTerms(protocol, List.of(registry.address()), PREFIX, 7, Span.ofMillis(3_000),
            Span.ofMillis(5_000));
    }

    private String key(String cluster, long revision) {
        return (terms.protocol() == RegistryTerms.Protocol.CONSUL ? "consul" : cluster) + "/" + revision;
    }

    /** Runs it to the end: all clients hold what the registry holds. */
    void run(int many, int changes, Span gap, boolean faults) {
        loop.execute(() -> {
            for (int i = 0; i < many; i++) {
                Client client = new Client(i);
                clients.add(client);
                client.hosts = new RegistryHosts(loop, loop, terms, new Random(i), System::currentTimeMillis, null,
                    Runnable::run, RegistryHosts.gateway(host -> null, host -> { }, hosts -> { }, words -> { }), client);
                client.hosts.begin();
            }
            change(changes, gap, faults);
        });
        long end = System.nanoTime() + TimeUnit.MINUTES.toNanos(10);
        boolean done = false;
        while (!done && System.nanoTime() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            CompletableFuture<Boolean> same = new CompletableFuture<>();
            loop.execute(() -> same.complete(made >= changes
                && clients.stream().allMatch(client -> client.view.equals(registry.all()))));
            done = same.join();
        }
        if (!done) {
            wrong.add("not all clients came to hold what the registry holds");
        }
        CompletableFuture<Void> counted = new CompletableFuture<>();
        loop.execute(() -> {
            clients.forEach(client -> {
                bytes += client.hosts.bytes();
                requests += client.hosts.requests();
                client.hosts.close();
            });
            worstSecond = registry.perSecond.values().stream().mapToInt(each -> each).max().orElse(0);
            counted.complete(null);
        });
        counted.join();
        loop.close();
    }

    private void change(int left, Span gap, boolean faults) {
        if (made >= left) {
            registry.repeats = 0;
            return;
        }
        Map<String, String> changes = new HashMap<>();
        int keys = 1 + random.nextInt(4);
        for (int i = 0; i < keys; i++) {
            String value = random.nextInt(5) == 0 ? null : "{\"address\":\"tcp:127.0.0.1:1\",\"weight\":" + made + "}";
            changes.put(PREFIX + "w-" + random.nextInt(40), value);
        }
        registry.commit(changes);
        made += changes.size();
        heldAt.put(key(registry.cluster(), registry.revision()), registry.all());
        changes.forEach((key, value) -> madeAt.put(key + value, NettyLoop.clock().micros()));
        if (faults && random.nextInt(40) == 0) {
            fault();
        }
        loop.after(gap, () -> change(left, gap, faults));
    }

    private void fault() {
        switch (random.nextInt(7)) {
            case 0 -> registry.compact(registry.revision() - random.nextInt(20));
            case 1 -> registry.dropAll();
            case 2 -> {
                registry.compact(registry.revision());
                registry.dropAll();
            }
            case 3 -> registry.cancelWatches("scripted");
            case 4 -> registry.repeats = random.nextInt(5);
            case 5 -> registry.progress();
            default -> registry.restart(Span.ofMillis(20 + random.nextInt(80)),
                terms.protocol() == RegistryTerms.Protocol.ETCD && random.nextBoolean());
        }
    }

    public static void main(String[] args) throws IOException {
        for (RegistryTerms.Protocol protocol : RegistryTerms.Protocol.values()) {
            for (boolean faults : new boolean[] {false, true}) {
                RegistryStorm storm = new RegistryStorm(protocol, Long.parseLong(args[2]));
                storm.run(Integer.parseInt(args[0]), Integer.parseInt(args[1]), new Span(2_000), faults);
                System.out.printf("%s, faults %b: %d changes applied, wrong %d, loud rereads %d, %d requests (%d in the worst"
                    + " second), %.1f bytes a change applied, told after p50 %d us p99 %d us%n", protocol, faults,
                    storm.applied, storm.wrong.size(), storm.rereads, storm.requests, storm.worstSecond,
                    (double) storm.bytes / storm.applied, storm.lag.getValueAtPercentile(50),
                    storm.lag.getValueAtPercentile(99));
                storm.wrong.stream().limit(5).forEach(System.out::println);
            }
        }
        System.exit(0);
    }
}
