package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/** Asks a gateway which others it knows. */
@Command(
    name = "members",
    mixinStandardHelpOptions = true,
    description =
        "Asks a gateway which others it knows, whether they live, and what it learnt from them.")
final class MembersCommand extends Asking {

  MembersCommand() {
    super("members", "keeps no company");
  }

  @Override
  void print(JsonNode members) {
    System.out.printf(
        "%-20s %-10s %5s %12s  %s%n", "gateway", "state", "index", "incarnation", "address");
    members
        .path("list")
        .forEach(
            each ->
                System.out.printf(
                    "%-20s %-10s %5d %12d  %s%n",
                    each.path("name").asText(),
                    each.path("state").asText(),
                    each.path("index").asInt(),
                    each.path("incarnation").asLong(),
                    each.path("address").asText()));
    members
        .properties()
        .forEach(
            field -> {
              if (!field.getKey().equals("list")) {
                System.out.println(field.getKey() + ": " + field.getValue().asText());
              }
            });
  }
}
