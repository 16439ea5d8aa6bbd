package flintlead.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import flintlead.configuration.yaml.YamlException;
import flintlead.testing.scenario.Scenario;
import flintlead.testing.scenario.ScenarioResult;
import flintlead.testing.scenario.ScenarioRunner;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a day of trouble. */
@Command(
    name = "day",
    mixinStandardHelpOptions = true,
    description =
        "Plays a day of trouble on loopback sockets and judges the five rules; exit 3 where one"
            + " broke.")
final class DayCommand implements Callable<Integer> {

  @Parameters(
      index = "0",
      arity = "0..1",
      description = "A day's file, or rough, rough-miss or demo.",
      defaultValue = "rough")
  private String file;

  @Option(names = "--seed", description = "Of everything left to chance.", defaultValue = "1")
  private long seed;

  @Option(names = "--json", description = "Print the result as JSON.")
  private boolean json;

  static Scenario plan(String file) throws IOException, YamlException {
    try (InputStream own =
        DayCommand.class.getResourceAsStream("/flintlead/day/" + file + ".yaml")) {
      return own == null
          ? Scenario.read(Path.of(file))
          : Scenario.parse(file, new String(own.readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  @Override
  public Integer call() throws IOException, YamlException {
    ScenarioResult result = new ScenarioRunner(plan(file), seed).run();
    print(result, json);
    return result.breaches().isEmpty() ? 0 : Commands.RULE_BROKE;
  }

  static void print(ScenarioResult result, boolean json) throws IOException {
    if (json) {
      System.out.println(
          new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(result));
      return;
    }
    System.out.printf(
        "%-10s %8s %8s %8s %9s %8s %6s %7s %7s%n",
        "type", "asked", "in time", "late", "throttled", "errored", "lost", "p50 ms", "p99 ms");
    result
        .types()
        .forEach(
            (name, type) ->
                System.out.printf(
                    "%-10s %8d %8d %8d %9d %8d %6d %7d %7d%n",
                    name,
                    type.asked,
                    type.inObjective,
                    type.late,
                    type.throttled,
                    type.errored,
                    type.lost,
                    type.p50Ms,
                    type.p99Ms));
    System.out.printf(
        "billed value answered in time: %.3f; %d dispatches, %d loads, %d orders to load%n",
        result.service(), result.dispatches(), result.loads(), result.orders());
    System.out.println("gateways: " + result.gateways());
    if (result.breaches().isEmpty()) {
      System.out.println("rules: all five held, judged by what the hosts and the clients saw");
    } else {
      result.breaches().forEach(System.out::println);
    }
  }

  /** The first thing to try. */
  @Command(
      name = "demo",
      mixinStandardHelpOptions = true,
      description =
          "A day of ten seconds with embedded stand-in hosts; or, with --keep, a gateway to call.")
  static final class Demo implements Callable<Integer> {

    @Option(names = "--seed", description = "Of everything left to chance.", defaultValue = "1")
    private long seed;

    @Option(names = "--socket", description = "Where clients may come in while it stays up.")
    private Path socket;

    @Option(
        names = "--keep",
        description = "No day: stay up, for clients of your own, until interrupted.")
    private boolean keep;

    @Override
    public Integer call() throws IOException, YamlException, InterruptedException {
      Scenario plan = plan("demo");
      if (keep || socket != null) {
        return stayUp(plan);
      }
      System.out.printf(
          "%d gateways, %d stand-in hosts, %.0f invocations a second for %d s, on loopback%n",
          plan.gateways(),
          plan.hosts(),
          plan.invocationsPerSecond(),
          plan.duration().micros() / 1_000_000);
      plan.faults()
          .forEach(
              trouble ->
                  System.out.printf(
                      "  at %4d ms: %s%n",
                      trouble.startsAt().micros() / 1000,
                      trouble.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')));
      ScenarioResult result = new ScenarioRunner(plan, seed).run();
      print(result, false);
      return result.breaches().isEmpty() ? 0 : Commands.RULE_BROKE;
    }

    private Integer stayUp(Scenario plan) throws IOException, InterruptedException {
      ScenarioRunner day = new ScenarioRunner(plan, seed);
      CountDownLatch end = new CountDownLatch(1);
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    try {
                      day.close();
                    } catch (IOException e) {
                      System.err.println(e.getMessage());
                    }
                    end.countDown();
                  }));
      day.start();
      System.out.println(
          "clients come in at "
              + (socket == null ? day.clientAddress() : day.clientAddress(socket)));
      System.out.println(
          "trigger types: check (idempotent), lodge (tokened), apply (non-idempotent)");
      end.await();
      return 0;
    }
  }
}
