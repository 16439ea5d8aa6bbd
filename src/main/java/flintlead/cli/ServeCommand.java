package flintlead.cli;

import flintlead.configuration.yaml.YamlException;
import flintlead.daemon.Daemon;
import flintlead.daemon.DaemonConfig;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The daemon. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Runs the gateway that a file describes.")
final class ServeCommand implements Callable<Integer> {

  @Option(
      names = {"-c", "--config"},
      required = true,
      description = "The file.")
  private Path file;

  @Override
  public Integer call() throws IOException, YamlException, InterruptedException {
    Daemon daemon = Daemon.start(DaemonConfig.read(file));
    CountDownLatch end = new CountDownLatch(1);
    // SIGTERM and SIGINT run this; what is taken gets its answer before the process goes.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.stop();
                  end.countDown();
                },
                "stop"));
    System.out.println("flintlead takes invocations at " + daemon.addresses());
    end.await();
    return 0;
  }

  /** Looks at a file and runs nothing. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Checks a file: each fault with file, line, key and what to do.")
  static final class Check implements Callable<Integer> {

    @Parameters(index = "0", description = "The file.")
    private Path file;

    @Override
    public Integer call() throws IOException {
      try {
        DaemonConfig installation = DaemonConfig.read(file);
        System.out.println(
            file
                + ": in order; "
                + installation.hosts().size()
                + " hosts, "
                + installation.gateway().triggerTypes().size()
                + " trigger types, listens at "
                + installation.listen());
        return 0;
      } catch (YamlException e) {
        e.errors().forEach(System.out::println);
        return Commands.FAILED;
      }
    }
  }
}
