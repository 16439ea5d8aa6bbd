package flintlead.platform.downstream;

import flintlead.time.Moment;
import flintlead.time.Span;

/** Tracks the timeouts of one client connection. */
final class ClientTimeouts {

  /** The timeout that has expired on a connection. */
  enum Expiry {
    /** No timeout has expired. */
    NONE,
    /** The client has not read its response in time. */
    RESPONSE_UNREAD,
    /** No complete request arrived in time. */
    REQUEST_INCOMPLETE,
    /** The connection has been idle for too long. */
    IDLE
  }

  /**
   * Time for a complete request: for the first one on a connection from when the connection was
   * accepted, for later ones from their first byte.
   */
  private static final Span REQUEST_TIMEOUT = Span.ofMillis(2_300);

  /** Longer than the 4 s for which clients keep idle connections open. */
  private static final Span IDLE_TIMEOUT = Span.ofMillis(6_000);

  /** Time for the client to read a response. */
  private static final Span RESPONSE_TIMEOUT = Span.ofMillis(3_000);

  /** When the current wait for a request, or for the rest of a partial one, began. */
  private Moment waitingSince;

  /**
   * When response bytes were first seen in the send buffer; null if the buffer was empty at the
   * last check.
   */
  private Moment unreadSince;

  private boolean requestSeen;
  private boolean partialRequest;

  ClientTimeouts(Moment acceptedAt) {
    this.waitingSince = acceptedAt;
  }

  /** Records that bytes were received, and whether a request is now partly received. */
  void received(boolean partial, Moment now) {
    if (partial && !partialRequest && requestSeen) {
      waitingSince = now;
    }
    partialRequest = partial;
  }

  /** Records that a complete request was received. */
  void requestRead(Moment now) {
    requestSeen = true;
    waitingSince = now;
  }

  /** Records that a response was written. */
  void responseWritten(Moment now) {
    waitingSince = now;
  }

  /** When the current wait for a request, or for the rest of a partial one, began. */
  Moment waitingSince() {
    return waitingSince;
  }

  /** Whether a request has been received in part. */
  boolean hasPartialRequest() {
    return partialRequest;
  }

  /**
   * Returns the timeout that has expired. Must be called regularly, because it also records when
   * unsent response bytes were first seen.
   *
   * @param unsent bytes in the send buffer
   * @param busy whether an invocation is in flight, so that no request is awaited
   */
  Expiry check(Moment now, long unsent, boolean busy) {
    if (unsent == 0) {
      unreadSince = null;
    } else if (unreadSince == null) {
      unreadSince = now;
    } else if (now.since(unreadSince).isLongerThan(RESPONSE_TIMEOUT)) {
      return Expiry.RESPONSE_UNREAD;
    }
    if (busy) {
      return Expiry.NONE;
    }
    Span waited = now.since(waitingSince);
    if ((!requestSeen || partialRequest) && waited.isLongerThan(REQUEST_TIMEOUT)) {
      return Expiry.REQUEST_INCOMPLETE;
    }
    return waited.isLongerThan(IDLE_TIMEOUT) ? Expiry.IDLE : Expiry.NONE;
  }
}
