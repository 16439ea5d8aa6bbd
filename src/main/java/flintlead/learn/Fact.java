package flintlead.learn;

import flintlead.time.Span;

/**
 * That copies of a function stand at a host, as one gateway last saw it itself.
 *
 * @param age since it saw that, when it told it
 */
public record Fact(long function, long host, int copies, Span age) implements Comparable<Fact> {

    public static final int COPIES_MOST = 255;

    /** @throws IllegalArgumentException when there can be no such fact */
    public Fact {
        if (copies < 1 || copies > COPIES_MOST || age.micros() < 0) {
            throw new IllegalArgumentException("a fact of " + copies + " copies, " + age.micros() + " us old");
        }
    }

    /** By function, then host, as unsigned numbers: the order in which they are handed over. */
    @Override
    public int compareTo(Fact other) {
        int byFunction = Long.compareUnsigned(function, other.function);
        return byFunction != 0 ? byFunction : Long.compareUnsigned(host, other.host);
    }

    Fact older(Span by) {
        return new Fact(function, host, copies, age.plus(by));
    }
}
