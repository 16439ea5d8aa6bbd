package flintlead.transport.dial;

import java.util.List;

/** Tells errors of this machine from those of a peer. */
public final class LocalExhaustion {

  /** What the JDK says; there is no type for it. */
  private static final List<String> MESSAGES =
      List.of(
          "Too many open files",
          "No buffer space available",
          "Cannot allocate memory",
          "Cannot assign requested address");

  private LocalExhaustion() {}

  /** Whether the error says that this machine has no descriptor, buffer or port left. */
  public static boolean isReportedBy(String error) {
    return MESSAGES.stream().anyMatch(error::contains);
  }
}
