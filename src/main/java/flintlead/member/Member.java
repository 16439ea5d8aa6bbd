package flintlead.member;

/**
 * What is known of one gateway.
 *
 * @param name unique among all; a gateway that comes back has the same
 * @param address where its letters go, in the words of whoever carries them
 * @param index its number among the gateways
 * @param by who suspects it by its own probe, not who passes that on; empty for one that nobody suspects
 * @param incarnation raised by the member itself only; that of a new process lies above those of all before
 */
public record Member(String name, String address, int index, long incarnation, State state, String by) {

    /** In the order of what overrides what at one incarnation. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    public static final int NAME_MOST = 64;
    public static final int ADDRESS_MOST = 64;

    public Member(String name, String address, int index, long incarnation, State state) {
        this(name, address, index, incarnation, state, "");
    }

    /** @throws IllegalArgumentException when name or address is empty or too long */
    public Member {
        if (name.isEmpty() || name.length() > NAME_MOST || address.isEmpty() || address.length() > ADDRESS_MOST
            || by.length() > NAME_MOST) {
            throw new IllegalArgumentException("a member's name and address have 1 to " + NAME_MOST + " characters");
        }
        if (index < 0 || incarnation < 0) {
            throw new IllegalArgumentException("a member's index and incarnation are 0 or more");
        }
    }

    public Member as(State other) {
        return new Member(name, address, index, incarnation, other);
    }

    Member suspectedBy(String other) {
        return new Member(name, address, index, incarnation, State.SUSPECT, other);
    }

    Member again(long higher) {
        return new Member(name, address, index, higher, State.ALIVE);
    }

    /** Whether it is to be reckoned with: a suspect may well live. */
    public boolean isThere() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /**
     * Whether this overrides what is known (SWIM 4.2, with returns allowed: a higher incarnation is the member's own word,
     * whatever was said of an earlier one).
     */
    boolean overrides(Member known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.ordinal() > known.state.ordinal();
    }
}
