package flintlead.gateway;

import flintlead.Control;
import flintlead.admission.Intake;
import flintlead.ids.Ids;
import flintlead.link.HostSpec;
import flintlead.link.LinkBounds;
import flintlead.loop.Loop;
import flintlead.loop.Transport;
import flintlead.netty.NettyLoop;
import flintlead.pool.Blend;
import flintlead.pool.Layout;
import flintlead.pool.Sight;
import flintlead.pool.Wish;
import flintlead.port.Decider;
import flintlead.port.Dispatcher;
import flintlead.port.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gateway: built, started, given hosts, asked to invoke, stopped. Safe from any thread; everything it does happens
 * on its own loop. Two in one process share nothing.
 *
 * <pre>{@code
 * Flintlead gateway = Flintlead.of(terms).start();
 * gateway.hosts(List.of(HostSpec.ready("w-1", Address.parse("tcp:127.0.0.1:4001"))));
 * gateway.invoke(Ask.of("grade-spruce", "check")).thenAccept(answer -> ...);
 * gateway.stop(Span.ofMillis(2000)).join();
 * }</pre>
 */
public final class Flintlead implements AutoCloseable {

    /** How a gateway is put together; every part has a usual value. */
    public static final class Builder {
        private final Terms terms;
        private Intake.Bounds bounds = Intake.Bounds.USUAL;
        private LinkBounds linkBounds = LinkBounds.USUAL;
        private long seed = System.nanoTime();
        private Loop loop;
        private Transport transport;

        private Decider decider = Control::new;
        private boolean peers;

        private Builder(Terms terms) {
            this.terms = terms;
        }

        public Builder bounds(Intake.Bounds intake) {
            this.bounds = intake;
            return this;
        }

        public Builder links(LinkBounds links) {
            this.linkBounds = links;
            return this;
        }

        /** The seed of all chance in this gateway. */
        public Builder seed(long number) {
            this.seed = number;
            return this;
        }

        /** Other decisions than the program's own, to compare them in the laboratory. */
        public Builder decidedBy(Decider other) {
            this.decider = other;
            return this;
        }

        /** There are others that its decisions may tell of what they see; see {@link Taker#company}. */
        public Builder withPeers() {
            this.peers = true;
            return this;
        }

        /** A loop and transport to live on, which stay their owner's; by default a thread and sockets of its own. */
        public <L extends Loop & Transport> Builder on(L world) {
            this.loop = world;
            this.transport = world;
            return this;
        }

        /** Starts it; it has no hosts yet and throttles what it can't hold. */
        public Flintlead start() {
            return new Flintlead(this);
        }
    }

    private final Core core;
    private final Loop loop;
    private final NettyLoop own;
    private final TakerOfCore taker;
    private final Intake.Source inProcess = new Intake.Source();
    private final List<Taker.Front> fronts = new ArrayList<>();
    private final CompletableFuture<Stopped> stopped = new CompletableFuture<>();
    private final Object gate = new Object();
    private boolean stopAsked;
    private boolean closed;

    private Flintlead(Builder builder) {
        Logger log = LoggerFactory.getLogger("flintlead." + builder.terms.gateway());
        own = builder.loop == null ? new NettyLoop(builder.terms.gateway()) : null;
        loop = own != null ? own : builder.loop;
        Transport transport = own != null ? own : builder.transport;
        core = new Core(builder.terms, loop, transport, builder.bounds, builder.linkBounds, builder.seed, log,
            builder.decider, builder.peers);
        taker = new TakerOfCore(transport);
    }

    public static Builder of(Terms terms) {
        return new Builder(terms);
    }

    public Terms terms() {
        return core.terms();
    }

    /** Runs the task on the loop, or gives back false once the gateway has closed. */
    private boolean post(Runnable task) {
        synchronized (gate) {
            if (closed) {
                return false;
            }
            // Under the lock: what is posted before the close is run before it.
            loop.execute(task);
            return true;
        }
    }

    /**
     * Takes an invocation.
     *
     * @return its one final answer; ends with a {@link RefusedException} when something in it is wrong. Cancelling the
     *     future means that its client has left.
     */
    public CompletableFuture<Answer> invoke(Ask ask) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        boolean posted = post(() -> {
            if (answer.isDone()) {
                return;
            }
            try {
                long invocation = core.take(ask, inProcess, answer::complete);
                if (invocation >= 0 && !answer.isDone()) {
                    answer.whenComplete((any, trouble) -> {
                        if (answer.isCancelled()) {
                            post(() -> core.leave(invocation));
                        }
                    });
                }
            } catch (RefusedException e) {
                answer.completeExceptionally(e);
            }
        });
        if (!posted) {
            answer.complete(Answer.throttled(Span.ofMillis(500), 0, "the gateway has stopped"));
        }
        return answer;
    }

    /**
     * The whole list of hosts, in place of the one before.
     *
     * @throws IllegalArgumentException when names collide; the list before stays
     */
    public void hosts(List<HostSpec> list) {
        Map<Long, HostSpec> checked = Core.checked(list);
        post(() -> core.hostsAre(checked));
    }

    /**
     * Pools and routes, in place of those before. Invocations that were taken stay in their pools to their final answers.
     *
     * @return ends when they are in force; with an exception where too many pools of older layouts are still in use, and the layout before stays
     * @throws IllegalArgumentException when something in it is wrong; the layout before stays
     */
    public CompletableFuture<Void> layout(Layout layout) {
        List<String> faults = layout.faults();
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", faults));
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        boolean posted = post(() -> {
            List<String> later = core.layoutsAre(Blend.of(layout), null);
            if (later.isEmpty()) {
                done.complete(null);
            } else {
                done.completeExceptionally(new IllegalStateException(String.join("; ", later)));
            }
        });
        if (!posted) {
            done.completeExceptionally(new IllegalStateException("the gateway has closed"));
        }
        return done;
    }

    /** What is known of each pool; ends with an exception once the gateway has closed. */
    public CompletableFuture<List<Sight>> pools() {
        CompletableFuture<List<Sight>> sights = new CompletableFuture<>();
        if (!post(() -> sights.complete(core.board().sights()))) {
            sights.completeExceptionally(new IllegalStateException("the gateway has closed"));
        }
        return sights;
    }

    /** What has been counted so far; ends with an exception once the gateway has closed. */
    public CompletableFuture<Counts> counts() {
        CompletableFuture<Counts> counts = new CompletableFuture<>();
        if (!post(() -> counts.complete(count()))) {
            counts.completeExceptionally(new IllegalStateException("the gateway has closed"));
        }
        return counts;
    }

    private Counts count() {
        Tally tally = core.tally();
        Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, tally.outcomes[outcome.ordinal()]);
        }
        return new Counts(core.ledger().taken(), tally.succeeded, tally.throttled, tally.errored, tally.turnedAway,
            tally.left, core.ledger().keptBack(), core.ledger().lateOnes(), tally.dispatches, tally.orders,
            core.ledger().size(), core.flights(), outcomes);
    }

    /** Calls the task on the gateway's loop with what a front needs. */
    public void withTaker(Consumer<Taker> task) {
        if (!post(() -> task.accept(taker))) {
            throw new IllegalStateException("the gateway has closed");
        }
    }

    /**
     * Takes nothing more from now on; waits up to the grace for the answers to what it has, answers the rest at once,
     * and closes. A second stop, or one with another grace, changes nothing about the first.
     */
    public CompletableFuture<Stopped> stop(Span grace) {
        boolean first;
        synchronized (gate) {
            first = !stopAsked && !closed;
            stopAsked = true;
        }
        if (first) {
            post(() -> {
                int open = core.ledger().size();
                int[] givenUp = {0};
                fronts.forEach(Taker.Front::stopping);
                core.stopTaking(() -> {
                    shut(Taker.Front::close);
                    stopped.complete(new Stopped(open, givenUp[0]));
                });
                loop.after(grace, () -> givenUp[0] = core.giveUpAll());
            });
        }
        return stopped;
    }

    /** Drops everything at once, as the end of the process would: what it had taken is answered no more. */
    public void kill() {
        synchronized (gate) {
            stopAsked = true;
        }
        post(() -> {
            shut(Taker.Front::kill);
            stopped.complete(new Stopped(core.ledger().size(), 0));
        });
    }

    private void shut(Consumer<Taker.Front> each) {
        synchronized (gate) {
            if (closed) {
                return;
            }
            closed = true;
        }
        fronts.forEach(each);
        core.close();
        if (own != null) {
            // Answers written in this event leave when it ends; the thread goes after that.
            loop.after(Span.ofMillis(1), own::close);
        }
    }

    /** Stops with a short grace and waits for it. */
    @Override
    public void close() {
        stop(Span.ofMillis(1000)).join();
    }

    private final class TakerOfCore implements Taker {
        private final Transport transport;
        private final Map<String, Supplier<byte[]>> questions = new HashMap<>();

        TakerOfCore(Transport transport) {
            this.transport = transport;
        }

        @Override
        public Loop loop() {
            return loop;
        }

        @Override
        public Transport transport() {
            return transport;
        }

        @Override
        public Intake intake() {
            return core.intake();
        }

        @Override
        public long take(Ask ask, Intake.Source source, Consumer<Answer> reply) throws RefusedException {
            return core.take(ask, source, reply);
        }

        @Override
        public void leave(long invocation) {
            core.leave(invocation);
        }

        @Override
        public boolean cancel(long invocation) {
            return core.cancelled(invocation);
        }

        @Override
        public Span clientTimeout(String triggerType) {
            int type = triggerType == null ? -1 : core.terms().triggerType(triggerType);
            return type < 0 ? null : core.terms().triggerTypes().get(type).clientTimeout();
        }

        @Override
        public Moment heardAt(String host) {
            return core.heardAt(host);
        }

        @Override
        public void ask(String host) {
            core.probe(Ids.host(host));
        }

        @Override
        public void hosts(List<HostSpec> list) {
            core.hostsAre(Core.checked(list));
        }

        @Override
        public List<String> layouts(Blend blend, List<HostSpec> list) {
            return core.layoutsAre(blend, list == null ? null : Core.checked(list));
        }

        @Override
        public List<Wish> recent(int most) {
            return core.board().recent(most);
        }

        @Override
        public List<Sight> pools() {
            return core.board().sights();
        }

        @Override
        public void company(Company others) {
            core.company(others);
        }

        @Override
        public void heard(int gateway, byte[] words) {
            core.dispatcher().heard(gateway, words);
        }

        @Override
        public void gatewaysAre(int there) {
            core.dispatcher().gatewaysAre(there);
        }

        @Override
        public void learned(long host, long function, int copies, Span age) {
            core.learned(host, function, copies, age);
        }

        @Override
        public void teach(Dispatcher.Pupil pupil) {
            core.dispatcher().teach(pupil);
        }

        @Override
        public Counts counts() {
            return count();
        }

        @Override
        public void answers(String question, Supplier<byte[]> json) {
            questions.put(question, json);
        }

        @Override
        public byte[] answer(String question) {
            Supplier<byte[]> answer = questions.get(question);
            return answer == null ? null : answer.get();
        }

        @Override
        public void add(Front front) {
            fronts.add(front);
        }
    }
}
