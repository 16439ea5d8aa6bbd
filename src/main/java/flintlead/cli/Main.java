package flintlead.cli;

import flintlead.benchlink.BenchLink;
import flintlead.benchlink.MalformedFrameException;
import java.io.IOException;

/** The command line. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: flintlead benchlink");
            System.exit(2);
        }
        try {
            new BenchLink(System.in, System.out).run();
        } catch (MalformedFrameException | IOException e) {
            System.err.println("flintlead: " + e.getMessage());
            System.exit(1);
        }
    }
}
