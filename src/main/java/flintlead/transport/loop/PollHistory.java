package flintlead.transport.loop;

import flintlead.time.Moment;
import java.util.Arrays;

/**
 * When an event loop's last polls began, and what follows from it. Pure: the loop reports its polls
 * with their times. Used on the event loop only.
 */
public final class PollHistory {

  /** Polls whose beginnings are kept. */
  private static final int KEPT = 4;

  /** When each of the last polls began, by its number modulo the polls kept. */
  private final Moment[] began = new Moment[KEPT];

  private long number;
  private long lastDelivered;
  private Moment deliveredUpTo;

  /** A history in which all polls so far began at this time. */
  public PollHistory(Moment start) {
    Arrays.fill(began, start);
    this.deliveredUpTo = start;
  }

  /** A poll begins: what the sockets have received by now is delivered until it ends. */
  public void pollBegan(Moment now) {
    number++;
    began[index(number)] = now;
  }

  /**
   * Everything that a poll has found was delivered, and all that follows from it at once.
   *
   * @param poll its number
   */
  public void delivered(long poll) {
    if (poll > lastDelivered) {
      lastDelivered = poll;
      deliveredUpTo = beganAt(poll);
    }
  }

  /** The number of the poll that is being delivered, or was delivered last. */
  public long number() {
    return number;
  }

  /** The number of the last poll whose results were all delivered. */
  public long lastDelivered() {
    return lastDelivered;
  }

  /** When the poll before the one that is being delivered, or was delivered last, began. */
  public Moment previousBegan() {
    return beganAt(number - 1);
  }

  /** When the last poll began whose results were all delivered. */
  public Moment deliveredUpTo() {
    return deliveredUpTo;
  }

  /** When the poll began; when the oldest that is kept did, for an older one. */
  private Moment beganAt(long poll) {
    return began[index(Math.max(poll, number - KEPT + 1))];
  }

  private static int index(long poll) {
    return Math.floorMod(poll, KEPT);
  }
}
