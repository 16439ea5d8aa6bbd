package flintlead.pool;

/** An invocation's place in a pool, from its taking to its final answer. */
public final class Seat {

    final Chamber chamber;
    /** The pool that its route leads to, where that was not the one it went to. */
    final Chamber meant;
    final Wish wish;
    boolean over;

    Seat(Chamber chamber, Chamber meant, Wish wish) {
        this.chamber = chamber;
        this.meant = meant;
        this.wish = wish;
    }

    /** The number by which hosts of the pool are told apart, from 0 to below {@link Board#NUMBERS}. */
    public int number() {
        return chamber.number;
    }

    public String pool() {
        return chamber.pool.name();
    }

    /** Whether it was taken by another pool than its own. */
    public boolean isGuest() {
        return chamber != meant;
    }
}
