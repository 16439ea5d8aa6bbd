package flintlead.platform;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import org.slf4j.Logger;
import org.slf4j.helpers.NOPLogger;

/**
 * Runs a complete gateway on Unix sockets, with emulated hosts that answer, refuse, abort
 * connections or do not respond. The build runs it to archive the classes that a gateway needs, and
 * a gateway runs it before it listens. Without it, a gateway on its share of a core would serve the
 * invocations of its first seconds many times slower than later ones, and throttle most of them.
 */
final class WarmUp {

  private static final int HOSTS = 3;
  private static final Span STALL = Span.ofMillis(120);

  /** How long clients keep sending requests after the start of the shutdown. */
  private static final Span LATE_REQUEST_PERIOD = Span.ofMillis(300);

  private WarmUp() {}

  /** Sends invocations to the gateway during the warm-up. */
  interface InvocationSender {

    /**
     * Sends invocations until the end time; blocks.
     *
     * @param socket the gateway's listening socket
     */
    void send(Path socket, Moment end) throws IOException;
  }

  /**
   * Runs the warm-up; blocks until it has ended.
   *
   * @param folder directory for the sockets, which are deleted afterwards
   * @param timeout maximum duration of the invocations
   * @throws IOException if the warm-up can't be run; a gateway then starts without it
   */
  static void run(Path folder, Span timeout) throws IOException {
    run(folder, timeout, WarmUpClients::invoke, NOPLogger.NOP_LOGGER, false);
  }

  /**
   * Runs the warm-up from which the build archives classes. It includes events that are rare in
   * service, such as disconnecting clients, a stall and a shutdown: a class that is not in the
   * archive is read, verified and linked when it is first needed, which stalls a gateway on its
   * share of a core.
   *
   * @param log the log that a gateway uses in service
   */
  static void runForArchive(Path folder, Span timeout, Logger log) throws IOException {
    run(folder, timeout, WarmUpClients::invokeWithFaults, log, true);
  }

  static void run(Path folder, Span timeout, InvocationSender clients) throws IOException {
    run(folder, timeout, clients, NOPLogger.NOP_LOGGER, false);
  }

  private static void run(
      Path folder, Span timeout, InvocationSender clients, Logger log, boolean shutDown)
      throws IOException {
    Path own = Files.createTempDirectory(folder, "r");
    NettyEventLoop emulators = new NettyEventLoop("warm-up");
    List<Path> files = new ArrayList<>();
    try {
      StringJoiner endpoints = new StringJoiner(",");
      for (int i = 0; i < HOSTS; i++) {
        Path socket = own.resolve("h" + i);
        files.add(socket);
        emulators.listen(
            new Address.Unix(socket), stream -> new WarmUpEmulators.Host(emulators, stream));
        endpoints.add(WarmUpConfiguration.endpoint("h" + i, socket));
      }
      Path journal = own.resolve("j");
      emulators.listen(new Address.Unix(journal), WarmUpEmulators.Journal::new);
      Path configuration = own.resolve("c");
      Path listen = own.resolve("d");
      files.addAll(List.of(journal, configuration, listen));
      Files.writeString(
          configuration, WarmUpConfiguration.file(listen, journal, endpoints.toString()));
      PlatformServer gateway = new PlatformServer(configuration, log);
      runGateway(gateway, listen, timeout, clients, shutDown);
    } finally {
      emulators.close();
      for (Path file : files) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(own);
    }
  }

  private static void runGateway(
      PlatformServer gateway, Path listen, Span timeout, InvocationSender clients, boolean shutDown)
      throws IOException {
    try {
      gateway.start();
      clients.send(listen, NettyEventLoop.clock().plus(timeout));
      gateway.reload();
      if (shutDown) {
        gateway.stall(STALL);
        gateway.shutdown();
        clients.send(listen, NettyEventLoop.clock().plus(LATE_REQUEST_PERIOD));
        gateway.awaitTermination();
      }
    } finally {
      // Also if the clients failed: otherwise its event loop would keep running beside that of the
      // real gateway.
      gateway.kill();
    }
  }
}
