package flintlead.learn;

import flintlead.time.Span;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A page of facts, or why there is none.
 *
 * @param number of the question
 * @param kind whether it holds facts
 */
public record Lesson(long number, Kind kind, List<Fact> facts) {

    /** What an answer is. */
    public enum Kind {
        /** Facts, and there are more behind them. */
        MORE,
        /** The last facts. */
        LAST,
        /** Ask another, or later: others are being taught. */
        BUSY,
        /** Ask another: this one has just begun itself. */
        FRESH
    }

    public static final int BYTES_MOST = 960;
    private static final byte VERSION = 1;
    private static final int HEAD = 2 + Long.BYTES;
    private static final int EACH = 2 * Long.BYTES + 1 + Short.BYTES;
    /** As many facts as fit. */
    static final int FACTS_MOST = (BYTES_MOST - HEAD) / EACH;
    /** Ages go in these steps; what is older than can be written is of no use to anyone. */
    private static final long AGE_STEP = 10_000;
    static final Span AGE_MOST = new Span(AGE_STEP * 0xffff);

    byte[] write() {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + EACH * facts.size());
        bytes.put(VERSION).put((byte) kind.ordinal()).putLong(number);
        for (Fact each : facts) {
            bytes.putLong(each.function()).putLong(each.host()).put((byte) each.copies())
                .putShort((short) ((each.age().micros() + AGE_STEP - 1) / AGE_STEP));
        }
        return bytes.array();
    }

    /** @throws IllegalArgumentException when it is no lesson of this version; nothing of it counts then */
    static Lesson read(byte[] from) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(from);
            if (bytes.get() != VERSION) {
                throw new IllegalArgumentException("a lesson of another version");
            }
            int kind = bytes.get();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IllegalArgumentException("a lesson of kind " + kind);
            }
            long number = bytes.getLong();
            List<Fact> facts = new ArrayList<>();
            while (bytes.hasRemaining()) {
                facts.add(new Fact(bytes.getLong(), bytes.getLong(), bytes.get() & 0xff,
                    new Span((bytes.getShort() & 0xffff) * AGE_STEP)));
            }
            return new Lesson(number, Kind.values()[kind], List.copyOf(facts));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a lesson that ends too soon");
        }
    }
}
