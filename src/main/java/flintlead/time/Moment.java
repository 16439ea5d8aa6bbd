package flintlead.time;

/** A point on the gateway's own clock, in microseconds from an arbitrary start. */
public record Moment(long micros) implements Comparable<Moment> {

  /** The start of the clock, before any event. */
  public static final Moment START = new Moment(0);

  /** Returns the moment later by the span. */
  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  /** Returns the moment earlier by the span. */
  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  /** Returns the time from the other moment to this one; negative if the other is later. */
  public Span since(Moment earlier) {
    return new Span(micros - earlier.micros);
  }

  /** Whether this moment is earlier than the other. */
  public boolean isBefore(Moment other) {
    return micros < other.micros;
  }

  /** Whether this moment is later than the other. */
  public boolean isAfter(Moment other) {
    return micros > other.micros;
  }

  /** Returns the earlier of two moments. */
  public static Moment earlier(Moment a, Moment b) {
    return a.micros <= b.micros ? a : b;
  }

  /** Returns the later of two moments. */
  public static Moment later(Moment a, Moment b) {
    return a.micros >= b.micros ? a : b;
  }

  @Override
  public int compareTo(Moment other) {
    return Long.compare(micros, other.micros);
  }
}
