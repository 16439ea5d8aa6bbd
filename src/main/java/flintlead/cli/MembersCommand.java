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

/** Asks a gateway which others it knows. */
@Command(name = "members", mixinStandardHelpOptions = true,
    description = "Asks a gateway which others it knows, whether they live, and what it learnt from them.")
final class MembersCommand implements Callable<Integer> {

    @Parameters(index = "0", description = "Where its clients come in: unix:/path or tcp:127.0.0.1:PORT.")
    private String at;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Address address = Commands.address(spec, at);
        try {
            JsonNode answer = Question.ask(address, "members", Map.of());
            JsonNode members = answer.path("result").path("members");
            if (members.isMissingNode()) {
                System.err.println(at + " keeps no company: " + answer.path("error").path("message").asText());
                return Commands.FAILED;
            }
            print(members);
            return 0;
        } catch (IOException e) {
            System.err.println(e.getMessage());
            return Commands.FAILED;
        }
    }

    private void print(JsonNode members) {
        if (json) {
            System.out.println(members);
            return;
        }
        System.out.printf("%-20s %-10s %5s %12s  %s%n", "gateway", "state", "index", "incarnation", "address");
        members.path("list").forEach(each -> System.out.printf("%-20s %-10s %5d %12d  %s%n", each.path("name").asText(),
            each.path("state").asText(), each.path("index").asInt(), each.path("incarnation").asLong(),
            each.path("address").asText()));
        members.fields().forEachRemaining(field -> {
            if (!field.getKey().equals("list")) {
                System.out.println(field.getKey() + ": " + field.getValue().asText());
            }
        });
    }
}
