package flintlead.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.client.Client;
import flintlead.client.Reply;
import flintlead.gateway.ScriptedHost;
import flintlead.loop.Address;
import flintlead.netty.NettyLoop;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The daemon's file: each fault is named with file, line, key and fix, all of them at once; and what it starts. */
class InstallationTest {

    private static final String GOOD = """
        listen: ["tcp:127.0.0.1:0"]
        triggerTypes:
          - {name: check, latencyObjective: 750ms, clientTimeout: 3s, billedValue: 3, effect: idempotent}
          - {name: lodge, effect: tokened, group: cell, window: 2s}
        hosts:
          - {name: w-1, address: "tcp:127.0.0.1:4001"}
        """;

    private static List<String> faults(String text) {
        return assertThrows(YamlException.class, () -> Installation.parse("f.yaml", text)).faults();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "latencyObjective: 750ms     | latencyObjective: 750      | f.yaml:3: triggerTypes[0].latencyObjective: '750' is not a span of time; write a number with its unit",
        "effect: idempotent          | effect: idempotend         | f.yaml:3: triggerTypes[0].effect: 'idempotend' is not known; write one of idempotent, tokened",
        "billedValue: 3              | billedvalue: 3             | f.yaml:3: triggerTypes[0].billedvalue: is not known here; did you mean 'billedValue'?",
        "latencyObjective: 750ms     | latencyObjective: 9s       | f.yaml:3: triggerTypes[0].latencyObjective: is longer than the client timeout; make it shorter",
        "'address: \"tcp:127.0.0.1:4001\"' | 'address: \"tcp:localhost:4001\"' | f.yaml:6: hosts[0].address: 'tcp:localhost:4001': the address must be in figures",
        "name: lodge                 | name: check                | f.yaml:1: triggerTypes, customers or gateway: trigger type 'check' stands twice",
        "'[\"tcp:127.0.0.1:0\"]'     | '[]'                       | f.yaml:1: listen: names no address; write listen:",
        "'hosts:'                    | 'hosts: {'                 | f.yaml:6: not YAML:",
        "'name: w-1,'                | ''                         | f.yaml:6: hosts[0].name: is missing; add 'name: …'",
    })
    void eachFaultNamesFileLineKeyAndFix(String good, String bad, String message) {
        assertTrue(GOOD.contains(good), good);
        List<String> found = faults(GOOD.replace(good, bad == null ? "" : bad));
        assertTrue(found.stream().anyMatch(line -> line.startsWith(message)), found.toString());
    }

    @Test
    void allFaultsAreNamedAtOnceAndHostsThatCollideAreRefused() {
        assertEquals(4, faults(GOOD.replace("750ms", "x").replace("effect: tokened", "effect: y") + """
              - {name: w-1, address: "unix:/tmp/a"}
            bounds: {taken: 0}
            """).size());
    }

    @Test
    void theDaemonStartsWhatTheFileSaysAndStopsIt() throws Exception {
        ScriptedHost host = new ScriptedHost("w-1", new Address.Tcp("127.0.0.1", 0));
        host.echoes = true;
        String port = host.address().toString().substring("tcp:127.0.0.1:".length());
        Daemon daemon = Daemon.start(Installation.parse("f", GOOD.replace("4001", port)));
        try (NettyLoop loop = new NettyLoop("client")) {
            CompletableFuture<Reply> answer = new CompletableFuture<>();
            loop.execute(() -> Client.connect(loop, daemon.addresses().get(0), () -> { }).invoke("f", "check", null, null,
                null, null, false, answer::complete));
            assertEquals(Reply.Kind.SUCCEEDED, answer.get(10, TimeUnit.SECONDS).kind());
            assertEquals(0, daemon.stop().open());
        } finally {
            host.close();
        }
    }

    @Test
    void anAddressThatIsTakenFailsTheStart() throws Exception {
        ScriptedHost other = new ScriptedHost("x", new Address.Tcp("127.0.0.1", 0));
        IOException refused = assertThrows(IOException.class, () -> Daemon.start(Installation.parse("f",
            GOOD.replace("tcp:127.0.0.1:0", other.address().toString()))));
        assertTrue(refused.getMessage().startsWith("cannot listen at " + other.address()), refused.getMessage());
        other.close();
    }
}
