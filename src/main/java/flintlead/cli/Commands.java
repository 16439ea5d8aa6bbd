package flintlead.cli;

import flintlead.configuration.yaml.YamlException;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** All commands. Exit codes: 0 done, 1 failed, 2 usage, 3 a rule broke. */
@Command(
    name = "flintlead",
    mixinStandardHelpOptions = true,
    version = "flintlead 0.2",
    description = "Runs calls on workers which load functions or models on demand.",
    subcommands = {
      DayCommand.Demo.class,
      ServeCommand.class,
      ServeCommand.Check.class,
      CallCommand.class,
      HostCommand.class,
      DayCommand.class,
      LoadCommand.class,
      SoakCommand.class,
      LabCommand.class,
      RegistryCommand.class,
      RegistryCommand.Watch.class,
      MembersCommand.class,
      PoolsCommand.class,
      ImportCommand.class,
      ChangeCommand.class,
      RolloutCommand.class,
      CommandLine.HelpCommand.class
    })
final class Commands implements Callable<Integer> {

  static final int FAILED = 1;
  static final int USAGE = 2;
  static final int RULE_BROKE = 3;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  static int run(String[] args) {
    return new CommandLine(new Commands())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              if (e instanceof YamlException
                  || e instanceof IOException
                  || e instanceof IllegalArgumentException) {
                System.err.println(e.getMessage());
              } else {
                e.printStackTrace();
              }
              return FAILED;
            })
        .setCaseInsensitiveEnumValuesAllowed(true)
        .execute(args);
  }

  /** An address that was written on the command line; exit 2 with what is wrong. */
  static Address address(CommandLine.Model.CommandSpec spec, String text) {
    try {
      return Address.parse(text);
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return USAGE;
  }
}
