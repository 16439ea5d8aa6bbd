package flintlead.daemon;

import flintlead.front.ClientFront;
import flintlead.gateway.Flintlead;
import flintlead.gateway.Stopped;
import flintlead.loop.Address;
import flintlead.registry.RegistryHosts;
import flintlead.snapshot.FolderDisk;
import flintlead.snapshot.SnapshotFile;
import flintlead.time.Span;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A gateway with its fronts, as a file describes them. */
public final class Daemon {

    /** An older list helps less than a blank start: its hosts are likely other machines by now. */
    private static final Span SNAPSHOT_AGE_MOST = Span.ofMillis(3_600_000);

    private final Logger log = LoggerFactory.getLogger(Daemon.class);
    private final Installation installation;
    private final Flintlead gateway;
    private final List<Address> addresses = new ArrayList<>();

    private Daemon(Installation installation, Flintlead gateway) {
        this.installation = installation;
        this.gateway = gateway;
    }

    /** @throws IOException when an address can't be bound; then nothing is left running */
    public static Daemon start(Installation installation) throws IOException {
        Flintlead gateway = Flintlead.of(installation.terms()).bounds(installation.intake())
            .links(installation.links()).start();
        Daemon daemon = new Daemon(installation, gateway);
        if (installation.registry() == null) {
            gateway.hosts(installation.hosts());
        } else {
            daemon.follow();
        }
        try {
            for (Address address : installation.listen()) {
                daemon.addresses.add(ClientFront.open(gateway, address, installation.front()));
            }
        } catch (IOException e) {
            gateway.kill();
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
        ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name + "-disk");
            thread.setDaemon(true);
            return thread;
        });
        gateway.withTaker(taker -> new RegistryHosts(taker.loop(), taker.transport(), installation.registry(),
            new Random(), System::currentTimeMillis, file, disk,
            RegistryHosts.gateway(taker::heardAt, taker::ask, taker::hosts, log::warn), null).begin());
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
        Stopped stopped = gateway.stop(installation.stopGrace()).join();
        log.info("stopped: {} invocations were open, {} of them answered when the grace was over", stopped.open(),
            stopped.givenUp());
        return stopped;
    }
}
