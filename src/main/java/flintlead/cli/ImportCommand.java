package flintlead.cli;

import flintlead.configuration.haproxy.HaproxyImporter;
import flintlead.configuration.haproxy.HaproxySource;
import flintlead.configuration.haproxy.ImportReport;
import flintlead.configuration.yaml.YamlException;
import flintlead.daemon.DaemonConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Takes over another program's configuration. */
@Command(
    name = "import",
    mixinStandardHelpOptions = true,
    description = "Takes over another program's configuration.",
    subcommands = ImportCommand.Haproxy.class)
final class ImportCommand implements Callable<Integer> {

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return Commands.USAGE;
  }

  /** HAProxy's. */
  @Command(
      name = "haproxy",
      mixinStandardHelpOptions = true,
      description =
          "Reads HAProxy's files, in their order, and writes a gateway's file for each backend and"
              + " listen section; the report says what became of every line. Exit 1 where a line is"
              + " not understood.")
  static final class Haproxy implements Callable<Integer> {

    @Parameters(
        arity = "1..*",
        description = "The files, in the order in which HAProxy would be given them.")
    private List<Path> files;

    @Option(
        names = {"-o", "--out"},
        description = "The folder for the files; without it only the report is printed.")
    private Path out;

    @Option(
        names = "--sockets",
        defaultValue = "/run/flintlead",
        description = "The folder for sockets of backends without a frontend.")
    private String sockets;

    @Override
    public Integer call() throws IOException {
      HaproxyImporter.ImportResult imported =
          HaproxyImporter.importSource(HaproxySource.read(files, System::getenv), sockets);
      System.out.print(imported.report().format());
      boolean good = imported.report().entriesWith(ImportReport.LineOutcome.UNKNOWN).isEmpty();
      if (out != null) {
        Files.createDirectories(out);
      }
      for (Map.Entry<String, String> file : imported.files().entrySet()) {
        if (out != null) {
          Files.writeString(out.resolve(file.getKey()), file.getValue());
        }
        try {
          DaemonConfig.parse(file.getKey(), file.getValue());
        } catch (YamlException e) {
          // Such a file is still written, to be mended by hand: the rest of it is right.
          e.errors().forEach(System.err::println);
          good = false;
        }
      }
      System.out.println((out == null ? "would write " : "wrote ") + imported.files().keySet());
      return good ? 0 : Commands.FAILED;
    }
  }
}
