package flintlead.platform;

import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Path;
import sun.misc.Signal;

/** The program {@code flintlead.jar platform}. */
public final class Main {

    private static final int BAD_CONFIGURATION = 2;
    private static final Span ARCHIVE_WARM_UP = Span.ofMillis(10_000);
    /** Longer would keep a gateway that was started anew out of service for nothing. */
    private static final Span WARM_UP = Span.ofMillis(2_500);

    private Main() {
    }

    /**
     * Serves until SIGTERM; gives back the exit code.
     *
     * @param archive only to play the warm-up, from which the build archives classes
     */
    public static int run(boolean archive) {
        // Before all else: a JVM ends on SIGHUP.
        Platform[] platform = new Platform[1];
        boolean[] early = new boolean[1];
        Signal.handle(new Signal("HUP"), signal -> {
            synchronized (platform) {
                if (platform[0] != null) {
                    platform[0].reload();
                } else {
                    early[0] = true;
                }
            }
        });
        Path folder = Path.of(System.getProperty("java.io.tmpdir"));
        if (archive) {
            try {
                WarmUp.play(folder, ARCHIVE_WARM_UP);
                return 0;
            } catch (IOException e) {
                System.err.println("flintlead: " + e.getMessage());
                return 1;
            }
        }
        String file = System.getenv("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            System.err.println("flintlead: ROUTER_CONFIG is not set");
            return BAD_CONFIGURATION;
        }
        try {
            Platform made = new Platform(Path.of(file), line -> System.err.println("flintlead: " + line));
            warmUp(folder);
            System.err.println("flintlead: listens at " + made.start());
            synchronized (platform) {
                platform[0] = made;
                if (early[0]) {
                    made.reload();
                }
            }
            Signal.handle(new Signal("TERM"), signal -> made.end());
            made.join();
            return 0;
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("flintlead: " + e.getMessage());
            return BAD_CONFIGURATION;
        }
    }

    private static void warmUp(Path folder) {
        try {
            WarmUp.play(folder, WARM_UP);
        } catch (IOException | RuntimeException e) {
            System.err.println("flintlead: starts cold: " + e);
        }
    }
}
