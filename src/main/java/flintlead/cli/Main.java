package flintlead.cli;

import flintlead.benchlink.BenchLink;
import flintlead.benchlink.MalformedFrameException;
import java.io.IOException;

/** Where the program begins. */
public final class Main {

  private Main() {}

  /**
   * The bench's link and the platform's gateway are started before any library is opened: it is to
   * need none and to begin at once.
   */
  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("benchlink")) {
      try {
        new BenchLink(System.in, System.out).run();
      } catch (MalformedFrameException | IOException e) {
        System.err.println("flintlead: " + e.getMessage());
        System.exit(1);
      }
      return;
    }
    if (args.length > 0 && args[0].equals("platform")) {
      System.exit(flintlead.platform.Main.run(args.length > 1 && args[1].equals("warm-up")));
    }
    System.exit(Commands.run(args));
  }
}
