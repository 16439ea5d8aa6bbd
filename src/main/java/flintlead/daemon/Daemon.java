package flintlead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.change.Journal;
import flintlead.front.ClientFront;
import flintlead.gateway.Flintlead;
import flintlead.gateway.Stopped;
import flintlead.gateway.Taker;
import flintlead.loop.Address;
import flintlead.loop.Transport;
import flintlead.member.Member;
import flintlead.netty.NettyLoop;
import flintlead.peers.OfTaker;
import flintlead.peers.OwnSights;
import flintlead.peers.Peers;
import flintlead.registry.RegistryHosts;
import flintlead.snapshot.FolderDisk;
import flintlead.snapshot.SnapshotFile;
import flintlead.time.Span;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A gateway with its fronts, as a file describes them. */
public final class Daemon {

    /** An older list helps less than a blank start: its hosts are likely other machines by now. */
    private static final Span SNAPSHOT_AGE_MOST = Span.ofMillis(3_600_000);

    private static final Span KEYS_READ_EVERY = Span.ofMillis(10_000);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Logger log = LoggerFactory.getLogger(Daemon.class);
    private final Installation installation;
    private final Flintlead gateway;
    private final NettyLoop loop;
    private final ExecutorService disk;
    private Peers peers;
    private Transport.Listening control;
    private final List<Address> addresses = new ArrayList<>();

    private Daemon(Installation installation, Flintlead gateway, NettyLoop loop) {
        this.installation = installation;
        this.gateway = gateway;
        this.loop = loop;
        this.disk = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, installation.terms().gateway() + "-disk");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** @throws IOException when an address can't be bound; then nothing is left running */
    public static Daemon start(Installation installation) throws IOException {
        NettyLoop loop = new NettyLoop(installation.terms().gateway());
        Flintlead.Builder builder = Flintlead.of(installation.terms()).bounds(installation.intake())
            .links(installation.links()).on(loop);
        Flintlead gateway = (installation.peers() == null ? builder : builder.withPeers()).start();
        Daemon daemon = new Daemon(installation, gateway, loop);
        try {
            gateway.layout(installation.layout());
            gateway.withTaker(taker -> taker.answers("pools", () -> pools(taker)));
            if (installation.registry() == null && installation.control() != null) {
                daemon.takeChanges();
            } else if (installation.registry() == null) {
                gateway.hosts(installation.hosts());
            } else {
                daemon.follow();
            }
            if (installation.sights() != null) {
                FolderDisk folder = new FolderDisk(installation.sights());
                gateway.withTaker(taker -> new OwnSights(taker.loop(), new OfTaker(taker, daemon.log::info), folder,
                    installation.terms().gateway(), daemon.disk,
                    System::currentTimeMillis, installation.terms().hosts().idleLife()).begin());
            }
            if (installation.peers() != null) {
                daemon.keepCompany();
            }
            for (Address address : installation.listen()) {
                daemon.addresses.add(ClientFront.open(gateway, address, installation.front()));
            }
        } catch (IOException e) {
            gateway.kill();
            daemon.end();
            throw e;
        }
        daemon.log.info("{} takes invocations at {}, {} hosts", installation.terms().gateway(), daemon.addresses,
            installation.hosts().size());
        return daemon;
    }

    /** The hosts come from a registry, with a snapshot on disk where the file names a folder. */
    private void follow() {
        String name = installation.terms().gateway();
        SnapshotFile file = installation.snapshots() == null ? null : new SnapshotFile(
            new FolderDisk(installation.snapshots()), name + ".hosts", SNAPSHOT_AGE_MOST, log::warn);
        gateway.withTaker(taker -> new RegistryHosts(taker.loop(), taker.transport(), installation.registry(),
            new Random(), System::currentTimeMillis, file, disk,
            RegistryHosts.gateway(taker::heardAt, taker::ask, taker::hosts, log::warn), null).begin());
    }

    /** The hosts may be changed in service; what the process before left goes before the file. */
    private void takeChanges() throws IOException {
        FolderDisk folder = installation.records() == null ? null : new FolderDisk(installation.records());
        Journal.Record kept = HostChanges.kept(folder, log::warn);
        CompletableFuture<HostChanges> begun = new CompletableFuture<>();
        gateway.withTaker(taker -> {
            try {
                begun.complete(new HostChanges(taker, installation.terms(),
                    HostChanges.version(installation.hosts(), installation.layout()), kept, installation.caution(),
                    taker::counts, folder, disk, log::info));
            } catch (RuntimeException e) {
                // Else the start would wait for ever.
                begun.completeExceptionally(e);
            }
        });
        control = ControlSocket.open(loop, installation.control(), begun.join());
        log.info("{} may be changed at {}", installation.terms().gateway(), installation.control());
    }

    /** The other gateways: who they are, and what they have seen; asked for by {@code members} at any front. */
    private void keepCompany() throws IOException {
        CompletableFuture<OfTaker> taker = new CompletableFuture<>();
        gateway.withTaker(here -> taker.complete(new OfTaker(here, log::info)));
        OfTaker own = taker.join();
        CompletableFuture<Peers> begun = new CompletableFuture<>();
        // Seconds of the wall clock: above the incarnation of every process before, which began at least a second earlier.
        Peers.open(loop, installation.peers(), installation.terms().gateway(), installation.terms().index(),
            System.currentTimeMillis() / 1000, own, System.nanoTime(), here -> {
                own.join(here);
                begun.complete(here);
            });
        peers = begun.join();
        gateway.withTaker(here -> here.answers("members", () -> members(peers)));
        log.info("{} keeps company at {}", installation.terms().gateway(), peers.address());
        if (!installation.keyFiles().isEmpty()) {
            loop.execute(this::readKeysLater);
        }
    }

    private void readKeysLater() {
        loop.after(KEYS_READ_EVERY, () -> disk.execute(() -> {
            try {
                List<byte[]> keys = Installation.keys(installation.keyFiles());
                loop.execute(() -> peers.keys(keys));
            } catch (IOException e) {
                log.warn("keys between gateways: {}; those before stay", e.getMessage());
            }
            loop.execute(this::readKeysLater);
        }));
    }

    private static byte[] members(Peers peers) {
        Peers.Counts counts = peers.counts();
        List<Map<String, Object>> list = new ArrayList<>();
        List<Member> all = new ArrayList<>(peers.others());
        all.add(peers.self());
        all.sort(Comparator.comparing(Member::name));
        for (Member each : all) {
            list.add(Map.of("name", each.name(), "address", each.address(), "index", each.index(), "incarnation",
                each.incarnation(), "state", each.state().name().toLowerCase(Locale.ROOT)));
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("list", list);
        answer.put("health", peers.health());
        answer.put("sent", counts.members().sent);
        answer.put("heard", counts.members().heard);
        answer.put("probes", counts.members().probes);
        answer.put("failedProbes", counts.members().failedProbes);
        answer.put("refutations", counts.members().refutations);
        answer.put("wrongly", counts.members().wrongly);
        answer.put("malformed", counts.malformed());
        answer.put("unsealed", counts.unsealed());
        answer.put("taught", counts.taught());
        answer.put("turnedAway", counts.turnedAway());
        answer.put("learnt", counts.learnt());
        answer.put("learning", counts.learning());
        try {
            return JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] pools(Taker taker) {
        try {
            return JSON.writeValueAsBytes(taker.pools());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The company that this gateway keeps; null where it keeps none. */
    public Peers peers() {
        return peers;
    }

    private void end() {
        if (control != null) {
            control.close();
        }
        disk.shutdown();
        // Answers written in the last event leave when it ends; the thread goes after that.
        loop.execute(() -> loop.after(Span.ofMillis(1), loop::close));
    }

    public Flintlead gateway() {
        return gateway;
    }

    /** Where clients come in: the ports chosen, where port 0 was asked for. */
    public List<Address> addresses() {
        return addresses;
    }

    /** Stops within the file's grace; what SIGTERM asks for. */
    public Stopped stop() {
        if (peers != null) {
            // At once, while there is time: the others' decisions need no longer reckon with it.
            loop.execute(peers::leave);
        }
        Stopped stopped = gateway.stop(installation.stopGrace()).join();
        end();
        log.info("stopped: {} invocations were open, {} of them answered when the grace was over", stopped.open(),
            stopped.givenUp());
        return stopped;
    }
}
