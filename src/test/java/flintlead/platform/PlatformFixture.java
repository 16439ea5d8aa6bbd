package flintlead.platform;

import flintlead.platform.TestClient.Response;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.event.Level;

/** A platform gateway on loopback, with fake hosts and a fake journal service. */
final class PlatformFixture implements AutoCloseable {

  /** The log event of an invariant violation, which no test may cause. */
  static final String VIOLATION = "invariant_violated";

  final List<FakeHost> hosts = new ArrayList<>();

  /** The lines that the gateway has logged. */
  final List<String> log = new CopyOnWriteArrayList<>();

  /** The gateway's configuration file. */
  final Path file;

  final FakeJournal journal;
  PlatformServer platform;
  int port;
  private final List<AutoCloseable> others = new ArrayList<>();
  private final int sockets;
  private final Map<String, String> replacements = new LinkedHashMap<>();

  PlatformFixture(int hosts, int sockets) throws IOException {
    this.sockets = sockets;
    for (int i = 0; i < hosts; i++) {
      this.hosts.add(FakeHost.listening("s-" + i, 0));
    }
    String[] endpoints =
        this.hosts.stream().map(host -> host.endpoint("active")).toArray(String[]::new);
    journal = new FakeJournal(List.of(FakeJournal.event(1, true, endpoints)));
    file = Files.createTempFile("flintlead", ".json");
    configure(journal);
  }

  /** Starts the gateway. */
  PlatformFixture start() throws IOException {
    platform = null;
    platform =
        new PlatformServer(
            file,
            new LogfmtLogger("flintlead.platform", Level.INFO, (line, cause) -> log.add(line)));
    port = ((Address.Tcp) platform.start()).port();
    return this;
  }

  /** Replaces a setting in the configuration file; to be called before the start. */
  PlatformFixture withSetting(String setting, String replacement) throws IOException {
    replacements.put(setting, replacement);
    configure(journal);
    return this;
  }

  /** Writes the configuration file, with the address of that journal service. */
  void configure(FakeJournal at) throws IOException {
    String text =
        TEMPLATE
            .replace("SOCKETS", Integer.toString(sockets))
            .replace("JOURNAL", at.address())
            .replace("EVENT", journal.events().get(0));
    for (Map.Entry<String, String> replacement : replacements.entrySet()) {
      text = text.replace(replacement.getKey(), replacement.getValue());
    }
    Files.writeString(file, text);
  }

  private static final String TEMPLATE =
      "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1f\",\"limits\":{\"cores\":1.0,"
          + "\"memory_mb\":128,\"sockets\":SOCKETS},\"journal\":\"JOURNAL\","
          + "\"known\":{\"pos\":1,\"entries\":[EVENT]},"
          + "\"settings\":{\"dcs\":[\"z\"],\"kinds\":[\"k\"],\"index\":0,\"group_size\":1,"
          + "\"tick\":1000,\"extra\":{\"when_absent\":\"load\",\"idle_life\":4000000,"
          + "\"load_wait\":4000000,\"loads_within\":5000000,\"free_loads\":2,\"load_share\":0.3},"
          + "\"feedback\":{\"names\":[\"waiting\"]},\"limits\":{\"attempts_cap\":3,"
          + "\"cancel\":true,\"probes\":true,\"conn_idle\":15000000,\"dial_timeout\":250000,\"max_streams\":100,"
          + "\"retry_after\":true,\"max_retry_after\":500000},"
          + "\"rules\":{\"answer_slack\":5000,\"drain_grace\":1000000,\"warm_after\":5000000,"
          + "\"cold_from\":0.3,\"fall_multiple\":2.5,\"overload_for\":3000000},"
          + "\"services\":[{\"name\":\"check\",\"aim\":340000,\"deadline\":1360000,\"worth\":3,"
          + "\"effect\":\"repeatable\"},{\"name\":\"lodge\",\"aim\":550000,\"deadline\":1360000,"
          + "\"worth\":9,\"effect\":\"by_key\",\"group\":\"cell\",\"window\":2000000}],"
          + "\"tenants\":[{\"name\":\"mill\",\"quota_per_s\":1000}]}}";

  FakeJournal anotherJournal() throws IOException {
    FakeJournal other = new FakeJournal(journal.events());
    others.add(other);
    return other;
  }

  /** Starts the journal service again, on the same port. */
  FakeJournal restartedJournal() throws IOException {
    FakeJournal again = new FakeJournal(journal.events(), journal.port());
    others.add(again);
    return again;
  }

  FakeHost anotherHost(String name, int port) throws IOException {
    FakeHost host = FakeHost.listening(name, port);
    hosts.add(host);
    return host;
  }

  /** Adds a host that accepts no connection until {@link FakeHost#accept} is called. */
  FakeHost notAcceptingHost(String name) throws IOException {
    FakeHost host = FakeHost.notAccepting(name);
    hosts.add(host);
    return host;
  }

  TestClient client() throws IOException {
    return new TestClient(port);
  }

  /** Returns a valid request. */
  static String invocationRequest(long id, String body) {
    return invocationRequest(id, "X-Class: check\r\nX-Ttl-Ms: 1360\r\n", body);
  }

  static String invocationRequest(long id, String headers, String body) {
    return "POST /call/00000000000000aa/fire HTTP/1.1\r\nHost: api\r\nX-Txn: "
        + String.format("%016x", id)
        + "\r\nX-Merchant: mill\r\nX-More: memory_mb:100;lanes:2;load_ms:300\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Sends one invocation on a new connection and returns its response. */
  Response invoke(long id, String body) throws IOException {
    try (TestClient client = client()) {
      return client.send(invocationRequest(id, body)).response();
    }
  }

  @Override
  public void close() throws Exception {
    if (platform != null) {
      platform.kill();
    }
    for (FakeHost host : hosts) {
      host.close();
    }
    for (AutoCloseable other : others) {
      other.close();
    }
    journal.close();
    Files.deleteIfExists(file);
    List<String> violations = log.stream().filter(line -> line.contains(VIOLATION)).toList();
    if (!violations.isEmpty()) {
      throw new AssertionError(violations);
    }
  }
}
