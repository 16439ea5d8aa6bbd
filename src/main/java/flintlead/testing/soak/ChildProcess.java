package flintlead.testing.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What all child processes of a soak, and of tests, have in common. */
public final class ChildProcess {

  private static final Path SETPRIV = Path.of("/usr/bin/setpriv");

  private ChildProcess() {}

  /** Words before a command that have it killed when this process ends, however it ends. */
  static List<String> dyingWithParent() {
    return Files.isExecutable(SETPRIV)
        ? List.of(SETPRIV.toString(), "--pdeathsig", "KILL", "--")
        : List.of();
  }

  /**
   * Sends a signal, named as {@code kill} names it.
   *
   * @return whether it was sent: not to a process that has ended
   */
  public static boolean signal(Process process, String name) throws IOException {
    try {
      String pid = Long.toString(process.pid());
      return new ProcessBuilder("kill", "-" + name, pid).start().waitFor() == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
