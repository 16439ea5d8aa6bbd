package flintlead.platform;

import flintlead.admission.Intake;
import flintlead.facts.StartupFacts;
import flintlead.loop.Address;
import flintlead.netty.NettyLoop;
import flintlead.platform.front.CallReader;
import flintlead.platform.front.Front;
import flintlead.platform.journal.HostEvents;
import flintlead.platform.journal.JournalTail;
import flintlead.platform.journal.Json;
import flintlead.platform.link.ConnectionPools;
import flintlead.platform.link.LinkTerms;
import flintlead.port.Deployment;
import flintlead.port.TriggerType;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** One gateway of the platform, put together from its file. */
public final class Platform {

    /** Of the descriptors: what the JVM and the listeners keep open, and the clients' part of the rest. */
    private static final int DESCRIPTORS_KEPT = 48;
    private static final double CLIENTS_PART = 0.55;
    private static final int BODY_MOST = 64 * 1024;
    /** Of the heap, for bodies under way. */
    private static final double BODIES_PART = 0.125;
    /** A connection has one invocation at a time: none needs a threshold of its own. */
    private static final double SHARE = 1_000;
    /** After a request to end: as long as connections and requests may still come in. */
    private static final Span STILL_COMING = Span.ofMillis(750);
    private static final Span END_MOST = Span.ofMillis(3_500);
    /** A file that can't be read is tried again: it may be half written. */
    private static final Span READ_AGAIN = Span.ofMillis(100);
    private static final int READ_TRIES = 30;

    private final Path file;
    private final NettyLoop loop;
    private final Json json = new Json();
    private final Consumer<String> log;
    private final StartFile start;
    private PlatformGateway gateway;
    private JournalTail journal;
    private Front front;
    private Address listening;
    private boolean ending;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /** @throws IllegalArgumentException that names key and fault, or that the file can't be read */
    public Platform(Path file, Consumer<String> log) {
        this.file = file;
        this.log = log;
        try {
            this.start = StartFile.read(json, Files.readAllBytes(file));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + " can't be read: " + e.getMessage(), e);
        }
        this.loop = new NettyLoop("platform");
    }

    /**
     * Serves from when this returns.
     *
     * @return where it listens
     * @throws IOException when the address can't be bound
     * @throws IllegalArgumentException that names key and fault
     */
    public Address start() throws IOException {
        CompletableFuture<Void> built = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                build();
                built.complete(null);
            } catch (RuntimeException e) {
                built.completeExceptionally(e);
            }
        });
        try {
            built.join();
        } catch (java.util.concurrent.CompletionException e) {
            throw e.getCause() instanceof IllegalArgumentException fault ? fault : e;
        }
        listening = front.listen(start.listen());
        return listening;
    }

    private void build() {
        StartupFacts facts = start.facts();
        Deployment deployment = facts.deployment();
        Random random = new Random(start.seed());
        int sockets = start.sockets() - DESCRIPTORS_KEPT;
        int clients = (int) (sockets * CLIENTS_PART);
        ConnectionPools pools = new ConnectionPools(new LinkTerms(Math.max(8, sockets - clients), Math.max(1, (int) facts.number("limits.max_streams")),
            BODY_MOST, facts.span("limits.dial_timeout"), facts.span("limits.conn_idle"), facts.span("rules.drain_grace")), loop, loop, log);
        long bodies = (long) (Runtime.getRuntime().maxMemory() * BODIES_PART);
        Intake.Bounds bounds = new Intake.Bounds(clients, bodies, SHARE, 1, bodies, 1, 1, END_MOST);
        gateway = new PlatformGateway(loop, pools, deployment, facts.names("services"), facts.span("limits.dial_timeout"), bounds,
            random.nextLong(), log);
        long offset = System.currentTimeMillis() * 1000 - loop.now().micros();
        HostEvents events = new HostEvents(facts.texts("dcs"), facts.texts("kinds"), ms -> new Moment(ms * 1000 - offset), gateway);
        for (int i = 0; i < start.known().size(); i++) {
            try {
                if (!events.event(start.known().get(i))) {
                    throw new IllegalArgumentException("an event before it is missing");
                }
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("known.entries[" + i + "]: " + e.getMessage(), e);
            }
        }
        journal = new JournalTail(start.journal(), loop, loop, events, json, new Random(random.nextLong()), log);
        journal.start();
        List<Boolean> tokened = deployment.triggerTypes().stream().map(type -> type.effect() == TriggerType.Effect.TOKENED).toList();
        front = new Front(loop, loop, gateway, new CallReader(facts.names("services"), tokened, facts.names("tenants")), clients);
    }

    /** The file has been replaced: the journal is where it says now. From any thread. */
    public void reload() {
        loop.execute(() -> readAgain(READ_TRIES));
    }

    private void readAgain(int tries) {
        try {
            StartFile now = StartFile.read(json, Files.readAllBytes(file));
            log.accept("configuration read again; journal at " + now.journal());
            journal.moves(now.journal());
        } catch (IOException | IllegalArgumentException e) {
            if (tries > 0) {
                loop.after(READ_AGAIN, () -> readAgain(tries - 1));
            } else {
                log.accept("the configuration stays as it was: " + e.getMessage());
            }
        }
    }

    /** Ends when what was taken has its answer. From any thread. */
    public void end() {
        loop.execute(() -> {
            if (ending) {
                return;
            }
            ending = true;
            loop.after(STILL_COMING, () -> {
                front.close();
                gateway.whenEmpty(() -> loop.after(Span.ofMillis(20), this::over));
            });
            loop.after(END_MOST.plus(STILL_COMING), this::over);
        });
    }

    private void over() {
        journal.stop();
        front.end();
        ended.complete(null);
    }

    /** Ends at once, as a killed process does. From any thread. */
    void kill() {
        loop.execute(this::over);
        join();
    }

    /** Waits until it has ended. */
    public void join() {
        ended.join();
        loop.close();
    }
}
