package flintlead.testing.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The project's own shim that has system calls of a gateway fail for a moment, as Linux documents
 * them to: compiled on the machine, and loaded into the processes that a soak starts.
 */
public final class SyscallFaults {

  private static final String SOURCE = "src/main/c/syscall_faults.c";
  private static final String LIBRARY = "target/syscall_faults.so";
  private static final int COMPILE_SECONDS = 60;

  private final Path library;

  private SyscallFaults(Path library) {
    this.library = library;
  }

  /**
   * Compiles the shim.
   *
   * @param root the project's folder
   * @throws IOException if there is no C compiler, or it fails
   */
  public static SyscallFaults compile(Path root) throws IOException, InterruptedException {
    Path library = root.resolve(LIBRARY).toAbsolutePath();
    Process compiler =
        new ProcessBuilder(
                "cc",
                "-shared",
                "-fPIC",
                "-O1",
                "-Wall",
                "-o",
                library.toString(),
                root.resolve(SOURCE).toString(),
                "-ldl")
            .redirectErrorStream(true)
            .start();
    String output = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    boolean ended = compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS);
    if (!ended || compiler.exitValue() != 0 || !Files.exists(library)) {
      throw new IOException("the system-call shim can't be compiled: " + output);
    }
    return new SyscallFaults(library);
  }

  /** What a process needs in its environment for each so many-th call of some kinds to fail. */
  public Map<String, String> environment(int every) {
    return every == 0
        ? Map.of()
        : Map.of("LD_PRELOAD", library.toString(), "SYSCALL_FAULT_EVERY", Integer.toString(every));
  }
}
