package flintlead.lab.policy;

import flintlead.port.Call;
import flintlead.port.Deployment;
import flintlead.port.Dispatcher;
import flintlead.port.Gateway;
import flintlead.port.Handle;
import flintlead.port.HostEntry;
import flintlead.port.Outcome;
import flintlead.port.TriggerType.Effect;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * What all simple policies share: one choice a dispatch, further ones only where the one before can't have run or the
 * invocation is idempotent, an answer in the client's time. They order no loads and know no warm hosts but by their choice.
 */
final class Simple implements Dispatcher {

    private static final int TRIES = 3;
    private static final int MARGIN_TICKS = 2;
    private static final Span LOOK_AGAIN = Span.ofMillis(10);
    private static final Span RETRY_IN = Span.ofMillis(150);

    private final Gateway gateway;
    private final Deployment deployment;
    private final Choice choice;
    private final Random random;
    private final Map<Long, Peer> hosts = new TreeMap<>();

    Simple(Gateway gateway, Deployment deployment, Choice choice, Random random) {
        if (!deployment.loadsWhenAbsent()) {
            throw new IllegalArgumentException("simple policies need workers that load what they lack: loadsWhenAbsent: true");
        }
        this.gateway = gateway;
        this.deployment = deployment;
        this.choice = choice;
        this.random = random;
    }

    @Override
    public Handle take(long invocation, Call call) {
        Taken taken = new Taken(invocation, call);
        taken.place();
        return taken;
    }

    @Override
    public void hostsAre(List<HostEntry> entries) {
        Set<Long> there = new HashSet<>();
        entries.forEach(entry -> there.add(entry.host()));
        hosts.keySet().retainAll(there);
        hostsChanged(entries);
    }

    @Override
    public void hostsChanged(List<HostEntry> entries) {
        for (HostEntry entry : entries) {
            hosts.computeIfAbsent(entry.host(), any -> new Peer(entry)).entry = entry;
        }
    }

    @Override
    public void hostsUnknown() {
        // The hosts known last stay.
    }

    @Override
    public void loaded(long host, long function, Outcome outcome, Span elapsed, int copies) {
        // No loads are ordered.
    }

    private final class Taken implements Handle {
        private final long invocation;
        private final Call call;
        private final Moment latest;
        private final List<Peer> tried = new ArrayList<>(1);
        private boolean mayHaveRun;
        private boolean answered;
        private boolean running;
        private Runnable timer;

        Taken(long invocation, Call call) {
            this.invocation = invocation;
            this.call = call;
            this.latest = gateway.now().plus(call.left()).minus(deployment.tick().times(MARGIN_TICKS));
            this.timer = gateway.at(latest, this::giveUp);
        }

        void place() {
            if (answered || running) {
                return;
            }
            List<Peer> open = hosts.values().stream()
                .filter(peer -> peer.entry.state() == HostEntry.State.READY && !tried.contains(peer)).toList();
            if (tried.size() == TRIES || open.isEmpty()) {
                giveUp();
                return;
            }
            Peer peer = choice.of(call, open, random);
            if (peer == null) {
                gateway.at(gateway.now().plus(LOOK_AGAIN), this::place);
                return;
            }
            tried.add(peer);
            peer.out++;
            choice.sent(call, peer);
            running = true;
            gateway.dispatch(invocation, peer.number, latest);
        }

        @Override
        public void ended(int dispatch, Outcome outcome, Span elapsed, boolean last, int remark, float[] report) {
            tried.get(dispatch).out--;
            choice.back(call, tried.get(dispatch));
            running = false;
            mayHaveRun |= outcome.mayHaveRun();
            if (outcome == Outcome.OK || last) {
                over();
            } else if (!answered) {
                boolean harmless = !outcome.mayHaveRun()
                    || deployment.triggerTypes().get(call.triggerType()).effect() == Effect.IDEMPOTENT;
                if (harmless && gateway.now().isBefore(latest)) {
                    place();
                } else {
                    giveUp();
                }
            }
        }

        private void over() {
            answered = true;
            timer.run();
        }

        @Override
        public void started(int dispatch, Span elapsed) {
            // Nothing is made of it.
        }

        @Override
        public void hungUp() {
            callBack();
            over();
        }

        @Override
        public void giveUp() {
            if (answered) {
                return;
            }
            over();
            boolean out = running;
            callBack();
            if (mayHaveRun || out) {
                gateway.fail(invocation);
            } else {
                gateway.throttle(invocation, RETRY_IN);
            }
        }

        private void callBack() {
            if (running) {
                gateway.cancel(invocation, tried.size() - 1);
            }
        }

        @Override
        public boolean isOver() {
            return answered && !running;
        }
    }
}
