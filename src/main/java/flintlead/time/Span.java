package flintlead.time;

/** A duration in microseconds, which may be negative. */
public record Span(long micros) implements Comparable<Span> {

  public static final Span ZERO = new Span(0);

  /** Returns a span of that many milliseconds, rounded to microseconds. */
  public static Span ofMillis(double millis) {
    return new Span(Math.round(millis * 1000));
  }

  /** Returns the sum of both spans. */
  public Span plus(Span other) {
    return new Span(micros + other.micros);
  }

  /** Returns the difference, which may be negative. */
  public Span minus(Span other) {
    return new Span(micros - other.micros);
  }

  /** Returns the span multiplied by the factor, rounded to microseconds. */
  public Span times(double factor) {
    return new Span(Math.round(micros * factor));
  }

  /** Returns the ratio of this span to the other. */
  public double ratioTo(Span other) {
    return (double) micros / other.micros;
  }

  /** Whether this is shorter than the other. */
  public boolean isShorterThan(Span other) {
    return micros < other.micros;
  }

  /** Whether this is longer than the other. */
  public boolean isLongerThan(Span other) {
    return micros > other.micros;
  }

  /** Returns the shorter of two spans. */
  public static Span shorter(Span a, Span b) {
    return a.micros <= b.micros ? a : b;
  }

  /** Returns the longer of two spans. */
  public static Span longer(Span a, Span b) {
    return a.micros >= b.micros ? a : b;
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(micros, other.micros);
  }
}
