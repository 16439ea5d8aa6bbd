package flintlead.membership.swim;

/**
 * What is known of one gateway.
 *
 * @param name unique among all; a gateway that restarts keeps its name
 * @param address where its messages go, in the form of the transport that carries them
 * @param index its number among the gateways, 0 or more
 * @param incarnation raised by the member itself only; that of a new process lies above those of
 *     all before
 * @param state as it was reported last
 * @param suspectedBy name of the member that suspects it by its own probe, not of one that passes
 *     the suspicion on; empty unless suspect
 */
public record Member(
    String name, String address, int index, long incarnation, State state, String suspectedBy) {

  /**
   * In the order of what overrides what at one incarnation. They are sent by their ordinal: the
   * order must not change.
   */
  public enum State {
    /** It lives, as far as is known. */
    ALIVE,
    /** A probe of it has failed; it may still refute that. */
    SUSPECT,
    /** It has not refuted a suspicion in time. */
    DEAD,
    /** It has left in good order. */
    LEFT
  }

  /** The longest name, in characters. */
  public static final int MAX_NAME_LENGTH = 64;

  /** The longest address, in characters. */
  public static final int MAX_ADDRESS_LENGTH = 64;

  /** A member that nobody suspects. */
  public Member(String name, String address, int index, long incarnation, State state) {
    this(name, address, index, incarnation, state, "");
  }

  /**
   * @throws IllegalArgumentException when name or address is empty or too long, or a number is
   *     negative
   */
  public Member {
    if (name.isEmpty()
        || name.length() > MAX_NAME_LENGTH
        || address.isEmpty()
        || address.length() > MAX_ADDRESS_LENGTH
        || suspectedBy.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(
          "a member's name and address have 1 to " + MAX_NAME_LENGTH + " characters");
    }
    if (index < 0 || incarnation < 0) {
      throw new IllegalArgumentException("a member's index and incarnation are 0 or more");
    }
  }

  /** The same member in another state, suspected by nobody. */
  public Member withState(State other) {
    return new Member(name, address, index, incarnation, other);
  }

  Member asSuspect(String accuser) {
    return new Member(name, address, index, incarnation, State.SUSPECT, accuser);
  }

  /** The same member, alive at a higher incarnation. */
  Member asRefutation(long higherIncarnation) {
    return new Member(name, address, index, higherIncarnation, State.ALIVE);
  }

  /** Whether it takes part: a suspect may well live. */
  public boolean isActive() {
    return state == State.ALIVE || state == State.SUSPECT;
  }

  /**
   * Whether this overrides what is known (SWIM 4.2, with returns allowed: a higher incarnation was
   * stated by the member itself, whatever was said of an earlier one).
   */
  boolean overrides(Member known) {
    if (incarnation != known.incarnation) {
      return incarnation > known.incarnation;
    }
    return state.ordinal() > known.state.ordinal();
  }
}
