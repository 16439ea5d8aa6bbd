package flintlead.platform.downstream;

import flintlead.time.Moment;

/** Counts the requests that a client has pipelined behind an invocation, and must be refused. */
final class PipelinedRequests {

  /** Beyond it nothing more is read from the client. */
  private static final int MAX_REQUESTS = 16;

  private int count;

  /** Requests that are refused after the response to the invocation in flight. */
  private int awaitingRefusal;

  /**
   * When the response was written to an invocation behind which there was unread input; null if
   * there was none.
   */
  private Moment answeredBeforeUnreadAt;

  /** A request was read that was not pipelined. */
  void reset() {
    count = 0;
    answeredBeforeUnreadAt = null;
  }

  /**
   * Counts a pipelined request.
   *
   * @param afterResponse whether it is refused after the response to the invocation in flight
   */
  void add(boolean afterResponse) {
    count++;
    awaitingRefusal += afterResponse ? 1 : 0;
  }

  /** Whether nothing more may be read from the client. */
  boolean isFull() {
    return count == MAX_REQUESTS;
  }

  boolean awaitRefusal() {
    return awaitingRefusal > 0;
  }

  /** One of the requests that await their refusal gets it. */
  void refused() {
    awaitingRefusal--;
  }

  /**
   * The response to the invocation was written.
   *
   * @param unreadInput whether input was found behind it that is still unread
   */
  void invocationAnswered(boolean unreadInput, Moment clock) {
    answeredBeforeUnreadAt = unreadInput ? clock : null;
  }

  /**
   * Whether what is read now was sent before the response to the last invocation.
   *
   * @param quietAt the latest time at which the client's connection was open with nothing unread
   */
  boolean includesInputSince(Moment quietAt) {
    return answeredBeforeUnreadAt != null && !quietAt.isAfter(answeredBeforeUnreadAt);
  }
}
