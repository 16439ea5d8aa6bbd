package flintlead.platform;

import flintlead.platform.journal.JsonReader;

/** Gives tests of formats access to classes that are visible only in this package. */
public final class PlatformConfigAccess {

  private PlatformConfigAccess() {}

  /** Parses a gateway's configuration file and returns its values, one per line. */
  public static String listValues(byte[] json) {
    PlatformConfig file = PlatformConfig.parse(new JsonReader(), json);
    return "name = "
        + file.name()
        + "\nlisten = "
        + file.listen()
        + "\nseed = "
        + file.seed()
        + "\nmemory_mb = "
        + file.memoryMb()
        + "\nsockets = "
        + file.sockets()
        + "\njournal = "
        + file.journal()
        + "\nknown.entries = "
        + file.initialHostEvents()
        + "\n";
  }

  /** Returns the error message for an invalid configuration file; fails if the file is valid. */
  public static String errorOf(byte[] json) {
    try {
      PlatformConfig.parse(new JsonReader(), json);
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    throw new AssertionError("the configuration file is valid");
  }
}
