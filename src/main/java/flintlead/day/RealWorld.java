package flintlead.day;

import flintlead.loop.Place;
import flintlead.netty.NettyLoop;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;

/** Threads, loopback sockets and the machine's clock. */
public final class RealWorld implements World {

    private Path folder;

    @Override
    public Place place(String name) {
        return new NettyLoop(name);
    }

    @Override
    public Moment clock() {
        return NettyLoop.clock();
    }

    @Override
    public long epochMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void aside(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void pass(Span span) {
        LockSupport.parkNanos(span.micros() * 1000);
    }

    @Override
    public void stall(Place place, Span span, Runnable over) {
        place.execute(() -> {
            pass(span);
            over.run();
        });
    }

    @Override
    public Path folder() throws IOException {
        folder = folder == null ? Files.createTempDirectory("flintlead-day") : folder;
        return folder;
    }

    /** Each place is closed by who opened it; what is left are socket files. */
    @Override
    public void close() throws IOException {
        if (folder != null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.deleteIfExists(file);
                }
            }
            Files.deleteIfExists(folder);
        }
    }
}
