package flintlead.cli;

import flintlead.configuration.rollout.Rollout;
import flintlead.configuration.rollout.RolloutStage;
import flintlead.configuration.rollout.RolloutTiming;
import flintlead.configuration.yaml.YamlSection;
import flintlead.daemon.RolloutRunner;
import flintlead.discovery.snapshot.DirectoryStorage;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** One change over many gateways. */
@Command(
    name = "rollout",
    mixinStandardHelpOptions = true,
    description =
        "Changes hosts, pools and routes of many gateways: one, then in waves, each held against"
            + " those that have not changed; all go back where it does harm. Exit 1 unless all have"
            + " changed (with --undo: gone back).")
final class RolloutCommand implements Callable<Integer> {

  private static final int GATEWAYS_MOST = 1_000;

  @Parameters(
      index = "0",
      arity = "0..1",
      description =
          "The file with the hosts, pools and routes to be; none to go on with the record.")
  private Path file;

  @Option(names = "--at", description = "A gateway's control socket; once for each.")
  private List<String> at = new ArrayList<>();

  @Option(
      names = "--record",
      required = true,
      description =
          "The folder in which the rollout is written down, for another process to go on with.")
  private Path record;

  @Option(names = "--resume", description = "Go on with what the record says.")
  private boolean resume;

  @Option(names = "--undo", description = "Take back what the record says.")
  private boolean undo;

  @Option(
      names = "--waves",
      split = ",",
      description = "Shares of the gateways after each wave (0,0.1,0.5,1).")
  private List<Double> waves = RolloutTiming.DEFAULTS.waves();

  @Option(
      names = "--settle",
      defaultValue = "5s",
      description = "Between waves (${DEFAULT-VALUE}).")
  private String settle;

  @Option(
      names = "--most",
      defaultValue = "1h",
      description = "Give up after that long, to be gone on with (${DEFAULT-VALUE}).")
  private String most;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    boolean begins = !resume && !undo;
    if (begins != (file != null) || begins == at.isEmpty() || resume && undo) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "write rollout FILE --at … --record DIR, or rollout --resume --record DIR,"
              + " or rollout --undo --record DIR");
    }
    if (at.size() > GATEWAYS_MOST || at.stream().distinct().count() < at.size()) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "name at most " + GATEWAYS_MOST + " gateways, each once");
    }
    at.forEach(each -> Commands.address(spec, each));
    RolloutTiming usual = RolloutTiming.DEFAULTS;
    RolloutTiming pace;
    try {
      pace =
          new RolloutTiming(
              waves,
              span(settle),
              usual.pollInterval(),
              usual.unreachableTimeout(),
              usual.maxUnreachableShare(),
              usual.maxFailureIncrease(),
              usual.minInvocations(),
              usual.standardErrors());
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
    }
    RolloutRunner.ControlClient asker =
        (address, method, params) ->
            Question.ask(flintlead.transport.loop.Address.parse(address), method, params);
    DirectoryStorage disk = new DirectoryStorage(record);
    Rollout rollout;
    try {
      RolloutRunner run =
          begins
              ? new RolloutRunner(
                  at,
                  UUID.randomUUID().toString(),
                  Files.readString(file),
                  pace,
                  disk,
                  asker,
                  System.out::println)
              : RolloutRunner.resume(undo, pace, disk, asker, System.out::println);
      rollout = run.run(span(most));
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return Commands.FAILED;
    }
    rollout.statusLines().forEach(System.out::println);
    return rollout.stage() == (undo ? RolloutStage.REVERTED : RolloutStage.DONE)
        ? 0
        : Commands.FAILED;
  }

  private Span span(String text) {
    Span span = YamlSection.span(text);
    if (span == null) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "'" + text + "' is not a span of time; write 5s");
    }
    return span;
  }
}
