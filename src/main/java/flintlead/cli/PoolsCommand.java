package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import flintlead.loop.Address;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks a gateway how its pools stand. */
@Command(name = "pools", mixinStandardHelpOptions = true,
    description = "Asks a gateway how its pools stand: hosts, invocations in hand, what is sent to other pools and why.")
final class PoolsCommand implements Callable<Integer> {

    @Parameters(index = "0", description = "Where its clients come in: unix:/path or tcp:127.0.0.1:PORT.")
    private String at;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Address address = Commands.address(spec, at);
        JsonNode answer;
        try {
            answer = Question.ask(address, "pools", Map.of());
        } catch (IOException e) {
            System.err.println(e.getMessage());
            return Commands.FAILED;
        }
        JsonNode pools = answer.path("result").path("pools");
        if (pools.isMissingNode()) {
            System.err.println(at + " tells of no pools: " + answer.path("error").path("message").asText());
            return Commands.FAILED;
        }
        if (json) {
            System.out.println(pools);
            return 0;
        }
        System.out.printf("%-20s %-8s %6s %8s %7s %6s %10s %10s %8s %8s %8s %8s%n", "pool", "state", "ready", "in hand", "guests",
            "away", "taken", "succeeded", "failed", "came", "went", "refused");
        pools.forEach(each -> System.out.printf("%-20s %-8s %6d %8d %7d %5.0f%% %10d %10d %8d %8d %8d %8d%n", each.path("name").asText(),
            !each.path("listed").asBoolean() ? "leaving" : each.path("up").asBoolean() ? "up" : "down", each.path("ready").asInt(),
            each.path("inHand").asInt(), each.path("guests").asInt(), 100 * each.path("away").asDouble(), each.path("taken").asLong(),
            each.path("succeeded").asLong(), each.path("failed").asLong(), each.path("came").asLong(), each.path("went").asLong(),
            each.path("turnedAway").asLong()));
        return 0;
    }
}
