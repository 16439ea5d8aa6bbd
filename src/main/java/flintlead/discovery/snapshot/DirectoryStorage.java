package flintlead.discovery.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Storage in a directory of the real file system. All methods block; they are called outside of
 * event loops.
 */
public final class DirectoryStorage implements DurableStorage {

  private static final long MAX_BYTES = 64L << 20;

  private final Path directory;

  /** Creates storage in a directory that exists already. */
  public DirectoryStorage(Path directory) {
    this.directory = directory;
  }

  @Override
  public byte[] read(String name) throws IOException {
    Path file = directory.resolve(name);
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new IOException(file + " has over " + MAX_BYTES + " bytes");
      }
      return Files.readAllBytes(file);
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  @Override
  public void writeSynced(String name, byte[] bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        directory.resolve(from),
        directory.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
