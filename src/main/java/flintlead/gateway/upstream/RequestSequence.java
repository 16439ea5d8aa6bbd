package flintlead.gateway.upstream;

import java.util.Random;

/**
 * Issues the request ids of one connection, and tracks which requests the host has received.
 *
 * <p>An id is a sequence number followed by random bits. A response with a wrong id, for example
 * one that is off by one, then matches no request instead of another one. The host reads bytes in
 * order, so the response to one request proves that all earlier ones were received.
 */
final class RequestSequence {

  private static final int RANDOM_BITS = 12;

  private final Random random;
  private long lastIssued;
  private long lastRequest;
  private long acknowledgedUpTo;

  RequestSequence(Random random) {
    this.random = random;
  }

  /** Issues the next id, for a message whose receipt is not tracked; draws random bits. */
  long next() {
    return ++lastIssued << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
  }

  /** Issues the next id, for a request that {@link #hasUnacknowledged} takes into account. */
  long nextRequest() {
    long id = next();
    lastRequest = lastIssued;
    return id;
  }

  /** Whether the id's sequence number was issued; the random bits are not checked. */
  boolean wasIssued(long id) {
    return id >= 1 && sequenceNumber(id) >= 1 && sequenceNumber(id) <= lastIssued;
  }

  /** Records a response with the id; ignored if the sequence number was not issued yet. */
  void acknowledge(long id) {
    if (sequenceNumber(id) <= lastIssued) {
      acknowledgedUpTo = Math.max(acknowledgedUpTo, sequenceNumber(id));
    }
  }

  /** Whether the host has received the request; if not, a kernel may still send it. */
  boolean isAcknowledged(long id) {
    return sequenceNumber(id) <= acknowledgedUpTo;
  }

  /** Whether neither the last request nor a message sent after it has been answered. */
  boolean hasUnacknowledged() {
    return lastRequest > acknowledgedUpTo;
  }

  private static long sequenceNumber(long id) {
    return id >> RANDOM_BITS;
  }
}
