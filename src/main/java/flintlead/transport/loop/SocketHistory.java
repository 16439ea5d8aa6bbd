package flintlead.transport.loop;

import flintlead.time.Moment;

/**
 * What the polls of an event loop tell about one socket: when it was last open with nothing unread,
 * and how old what it delivers may be. A poll may find a socket readable and leave it unread, or
 * read a part of what it holds, if others are served first. Used on the event loop only.
 */
public final class SocketHistory {

  private final PollHistory polls;
  private final ArrivalBound arrival = new ArrivalBound();

  /** The latest time at which the socket is known to have been open with nothing unread. */
  private Moment lastEmpty;

  /**
   * When the socket was empty as well, if it was open then, as more bytes would show; null for no
   * such time. What makes a socket readable may also be its end.
   */
  private Moment emptyIfOpen;

  /** The last poll that found the socket readable, or was not looking at it. */
  private long lastReadablePoll;

  /** Whether nothing was left unread after the last read. */
  private boolean emptied;

  private boolean watched = true;

  /**
   * Creates the history of a socket that the next poll looks at for the first time.
   *
   * @param earliest the earliest time at which anything can have arrived
   */
  public SocketHistory(PollHistory polls, Moment earliest) {
    this.polls = polls;
    this.lastEmpty = earliest;
    this.lastReadablePoll = polls.number();
  }

  /** The present poll has found the socket readable; it may be left unread. */
  public void readable() {
    long poll = polls.number();
    if (poll == lastReadablePoll) {
      return;
    }
    if (lastReadablePoll < poll - 1) {
      lastEmpty = polls.previousBegan();
      emptyIfOpen = null;
    } else if (emptied) {
      emptyIfOpen = polls.previousBegan();
    }
    lastReadablePoll = poll;
    emptied = false;
  }

  /**
   * Bytes were read from the socket.
   *
   * @param everything whether nothing is left in it but perhaps its end
   */
  public void read(boolean everything) {
    if (emptyIfOpen != null) {
      lastEmpty = emptyIfOpen;
      emptyIfOpen = null;
    }
    emptied = everything;
  }

  /** Polls look at the socket from now on, or no longer do. */
  public void setWatched(boolean watch) {
    if (watched != watch) {
      lastEmpty = watch ? lastEmpty : quietAt();
      watched = watch;
      lastReadablePoll = polls.number();
      emptyIfOpen = null;
      emptied = false;
    }
  }

  /** See {@link Stream#hasUnread}. */
  public boolean hasUnread() {
    return watched && lastReadablePoll == polls.number() && !emptied;
  }

  /** See {@link Stream#quietAt}. */
  public Moment quietAt() {
    return watched && lastReadablePoll < polls.lastDelivered() ? polls.deliveredUpTo() : lastEmpty;
  }

  /** See {@link Stream#earliestArrival}. */
  public Moment earliestArrival(Moment now) {
    return arrival.earliest(polls.number(), lastEmpty, now);
  }

  /** Something was written: what arrives from now on answers it. */
  public void written() {
    arrival.reset();
  }
}
