package flintlead.peers;

import flintlead.learn.Fact;
import flintlead.learn.Kept;
import flintlead.loop.Loop;
import flintlead.snapshot.Disk;
import flintlead.time.Span;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongSupplier;

/** Keeps what a gateway sees itself on its disk, and tells its next process of it. Lives on the gateway's loop. */
public final class OwnSights {

    private static final String ENDING = ".sights";
    private static final Span EVERY = Span.ofMillis(1_000);

    private final Loop loop;
    private final Peers.Gateway gateway;
    private final Disk disk;
    private final String file;
    private final Executor writer;
    private final LongSupplier epochMs;
    private final Span most;
    private boolean writing;
    private boolean failing;
    private boolean closed;
    private int told;

    /**
     * @param name of the gateway, by which the file is called
     * @param writer runs what waits for the disk
     * @param epochMs the wall clock, as the process before had another
     * @param most older sights are of no use
     */
    public OwnSights(Loop loop, Peers.Gateway gateway, Disk disk, String name, Executor writer, LongSupplier epochMs, Span most) {
        this.loop = loop;
        this.gateway = gateway;
        this.disk = disk;
        this.file = name + ENDING;
        this.writer = writer;
        this.epochMs = epochMs;
        this.most = most;
    }

    /** Reads what the process before left, then keeps its own. */
    public void begin() {
        writer.execute(() -> {
            byte[] read = null;
            try {
                read = disk.read(file);
            } catch (IOException e) {
                loop.execute(() -> gateway.say("what was seen before can't be read: " + e));
            }
            byte[] found = read;
            loop.execute(() -> {
                if (found != null) {
                    tell(found);
                }
                keepLater();
            });
        });
    }

    private void tell(byte[] found) {
        try {
            List<Fact> facts = Kept.read(found, epochMs.getAsLong(), most);
            told = facts.size();
            gateway.learnt(facts);
            gateway.say("the process before had seen " + told + " copies stand that may stand yet");
        } catch (IllegalArgumentException e) {
            gateway.say("what was seen before is not used: " + e.getMessage());
        }
    }

    private void keepLater() {
        loop.after(EVERY, () -> {
            if (!writing) {
                keep();
            }
            if (!closed) {
                keepLater();
            }
        });
    }

    private void keep() {
        writing = true;
        byte[] bytes = Kept.write(gateway.facts(), epochMs.getAsLong());
        try {
            writer.execute(() -> write(bytes));
        } catch (RejectedExecutionException e) {
            // The process stops, and its disk thread has gone before this loop: there is nothing more to keep.
            closed = true;
        }
    }

    private void write(byte[] bytes) {
        String trouble = null;
        try {
            disk.replace(file, bytes);
        } catch (IOException e) {
            trouble = e.toString();
        }
        String why = trouble;
        loop.execute(() -> {
            writing = false;
            if (why != null && !failing) {
                gateway.say("what is seen can't be kept: " + why);
            }
            failing = why != null;
        });
    }

    /** Sights of the process before that were told. */
    public int told() {
        return told;
    }
}
