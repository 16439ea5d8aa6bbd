package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Changes a running gateway's hosts. */
@Command(
    name = "change",
    mixinStandardHelpOptions = true,
    description =
        "Changes the hosts, pools and routes of a running gateway: plan FILE, apply FILE, status,"
            + " undo or show. FILE has hosts:, pools: and routes: as the daemon's file has them,"
            + " and without the latter two the pools and routes stay; whatever else it says is not"
            + " looked at.")
final class ChangeCommand implements Callable<Integer> {

  /** What can be asked. */
  enum What {
    PLAN,
    APPLY,
    STATUS,
    UNDO,
    SHOW
  }

  @Parameters(
      index = "0",
      description = "plan, apply, status, undo or show (what is in force, as a file).")
  private What what;

  @Parameters(index = "1", arity = "0..1", description = "The file with the hosts to be.")
  private Path file;

  @Option(
      names = "--at",
      required = true,
      description = "The gateway's control socket: unix:/path.")
  private String at;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    boolean needsFile = what == What.PLAN || what == What.APPLY;
    if (needsFile != (file != null)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          needsFile ? what + " needs the file with the hosts to be" : what + " takes no file");
    }
    Address address = Commands.address(spec, at);
    try {
      JsonNode answer =
          Question.ask(
              address,
              what.name().toLowerCase(java.util.Locale.ROOT),
              needsFile ? Map.of("hosts", Files.readString(file)) : Map.of());
      JsonNode change = answer.path("result").path("change");
      if (change.isMissingNode()) {
        System.err.println(answer.path("error").path("message").asText());
        return Commands.FAILED;
      }
      System.out.println(change.toPrettyString());
      return 0;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return Commands.FAILED;
    }
  }
}
