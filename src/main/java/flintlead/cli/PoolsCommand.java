package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/** Asks a gateway how its pools stand. */
@Command(
    name = "pools",
    mixinStandardHelpOptions = true,
    description =
        "Asks a gateway how its pools stand: hosts, invocations in hand, what is sent to other"
            + " pools and why.")
final class PoolsCommand extends Asking {

  PoolsCommand() {
    super("pools", "tells of no pools");
  }

  @Override
  void print(JsonNode pools) {
    System.out.printf(
        "%-20s %-8s %6s %8s %7s %6s %10s %10s %8s %8s %8s %8s%n",
        "pool", "state", "ready", "in hand", "guests", "away", "taken", "in time", "bad", "came",
        "went", "refused");
    pools.forEach(
        each ->
            System.out.printf(
                "%-20s %-8s %6d %8d %7d %5.0f%% %10d %10d %8d %8d %8d %8d%n",
                each.path("name").asText(),
                !each.path("listed").asBoolean()
                    ? "leaving"
                    : each.path("up").asBoolean() ? "up" : "down",
                each.path("ready").asInt(),
                each.path("inHand").asInt(),
                each.path("guests").asInt(),
                100 * each.path("away").asDouble(),
                each.path("taken").asLong(),
                each.path("succeeded").asLong(),
                each.path("failed").asLong(),
                each.path("came").asLong(),
                each.path("went").asLong(),
                each.path("turnedAway").asLong()));
  }
}
