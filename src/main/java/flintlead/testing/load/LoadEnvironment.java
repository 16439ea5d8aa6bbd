package flintlead.testing.load;

import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The event loops and the socket directory of one measurement, removed at its end. */
final class LoadEnvironment implements AutoCloseable {

  private final Path directory;
  private final List<NettyEventLoop> loops = new ArrayList<>();

  /**
   * @param name of the directory, to which a random part is added
   */
  LoadEnvironment(String name) throws IOException {
    directory = Files.createTempDirectory(name);
  }

  NettyEventLoop startLoop(String name) {
    NettyEventLoop loop = new NettyEventLoop(name);
    loops.add(loop);
    return loop;
  }

  Path file(String name) {
    return directory.resolve(name);
  }

  Address.Unix socket(String name) {
    return new Address.Unix(file(name));
  }

  @Override
  public void close() throws IOException {
    loops.forEach(NettyEventLoop::close);
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(directory);
  }
}
