package flintlead.membership.transfer;

import flintlead.time.Span;

/**
 * That a host has instances of a function, as one gateway last saw it itself.
 *
 * @param function the function's number
 * @param host the host's number
 * @param instances instances there, from 1 to {@link #MAX_INSTANCES}
 * @param age time since it was seen
 */
public record InstanceObservation(long function, long host, int instances, Span age)
    implements Comparable<InstanceObservation> {

  /** More instances are not told apart. */
  public static final int MAX_INSTANCES = 255;

  /**
   * @throws IllegalArgumentException when the number of instances is out of range, or the age
   *     negative
   */
  public InstanceObservation {
    if (instances < 1 || instances > MAX_INSTANCES || age.micros() < 0) {
      throw new IllegalArgumentException(
          "an observation of " + instances + " instances, " + age.micros() + " us old");
    }
  }

  /** By function, then host, as unsigned numbers: the order in which they are transferred. */
  @Override
  public int compareTo(InstanceObservation other) {
    int byFunction = Long.compareUnsigned(function, other.function);
    return byFunction != 0 ? byFunction : Long.compareUnsigned(host, other.host);
  }

  /** The same observation, older by that time. */
  InstanceObservation agedBy(Span time) {
    return new InstanceObservation(function, host, instances, age.plus(time));
  }
}
