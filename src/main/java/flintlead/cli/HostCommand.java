package flintlead.cli;

import flintlead.testing.emulator.DeduplicationWindow;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.testing.emulator.FunctionStore;
import flintlead.testing.emulator.HostEmulator;
import flintlead.testing.emulator.HostModel;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A stand-in host by itself. */
@Command(
    name = "host",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in host until interrupted.")
final class HostCommand implements Callable<Integer> {

  @Parameters(index = "0", description = "Its name, as in the host list.")
  private String name;

  @Parameters(index = "1", description = "Where it listens: unix:/path or tcp:127.0.0.1:PORT.")
  private String at;

  @Option(names = "--cores", defaultValue = "4", description = "Its cores.")
  private int cores;

  @Option(
      names = "--work",
      defaultValue = "20",
      description = "Work of an invocation, in milliseconds.")
  private double work;

  @Option(names = "--cold", description = "It starts with a part of its capacity.")
  private boolean cold;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try (NettyEventLoop loop = new NettyEventLoop("host")) {
      HostEmulator host =
          new HostEmulator(
              name,
              Address.parse(at),
              HostModel.DEFAULT.withSize(cores, 4_000, 64, work),
              loop,
              new FunctionStore(loop, 8, 64),
              new DeduplicationWindow(Span.ofMillis(2_000)),
              new ExecutionLog(10_000),
              1);
      host.start(cold);
      System.out.println("stand-in host " + name + " at " + host.address());
      new CountDownLatch(1).await();
    }
    return 0;
  }
}
