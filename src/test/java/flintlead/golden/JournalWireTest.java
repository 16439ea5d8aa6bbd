package flintlead.golden;

import static org.awaitility.Awaitility.await;

import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.journal.JournalClient;
import flintlead.platform.journal.JsonReader;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.helpers.NOPLogger;

/** The journal service's lines: what it is asked, and what its events say of hosts. */
@Timeout(30)
class JournalWireTest {

  /** Notes what is told, with words of its own for each state. */
  private static final class Noted implements HostEventProcessor.Listener {
    private final List<String> told = new CopyOnWriteArrayList<>();

    @Override
    public void hostsReplaced(List<HostEventProcessor.ListedHost> hosts) {
      told.add("whole");
      hosts.forEach(this::note);
    }

    @Override
    public void hostsUpdated(List<HostEventProcessor.ListedHost> hosts) {
      told.add("changed");
      hosts.forEach(this::note);
    }

    @Override
    public void hostsIgnored(int count, int maxHosts) {
      told.add("ignored " + count);
    }

    private void note(HostEventProcessor.ListedHost listed) {
      HostEntry entry = listed.entry();
      told.add(
          listed.name()
              + " at "
              + listed.address()
              + " number "
              + entry.host()
              + " zone "
              + entry.zone()
              + " cell "
              + entry.cell()
              + " kind "
              + entry.kind()
              + " "
              + said(entry.state())
              + " started "
              + entry.startedAt().micros()
              + " weight "
              + entry.weight());
    }

    private static String said(HostEntry.State state) {
      return switch (state) {
        case READY -> "ready";
        case DRAINING -> "draining";
        case GONE -> "gone";
      };
    }
  }

  @TempDir Path folder;

  @Test
  void theServiceIsAskedAndUnderstoodAsBefore() throws Exception {
    List<String> asked = new CopyOnWriteArrayList<>();
    Noted noted = new Noted();
    HostEventProcessor events =
        new HostEventProcessor(
            List.of("z0", "z1"),
            List.of("k0", "k1"),
            millis -> new Moment(millis * 1_000),
            100,
            noted);
    try (ServerSocketChannel service =
            RawLines.serve(
                folder.resolve("j"),
                line -> {
                  asked.add(line);
                  return Golden.text("journal-events.jsonl").stripTrailing();
                });
        NettyEventLoop loop = new NettyEventLoop("golden")) {
      JournalClient tail =
          new JournalClient(
              new Address.Unix(folder.resolve("j")),
              loop,
              loop,
              events,
              HostLeases.ofAuthoritativeList(),
              new JsonReader(),
              new Random(3),
              () -> {},
              NOPLogger.NOP_LOGGER);
      loop.execute(tail::start);
      await().until(() -> service.isOpen() && noted.told.size() == 8);
      Golden.check(
          "journal-told.txt",
          String.join("\n", asked) + "\n" + String.join("\n", noted.told) + "\n");
    }
  }
}
