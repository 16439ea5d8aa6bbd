package flintlead.configuration.yaml;

import flintlead.time.Span;

/**
 * Spans of time as configuration files and the command line write them: a number with the unit us,
 * ms, s, m or h.
 */
public final class SpanText {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private SpanText() {}

  /** Returns the span that the text stands for; null where it is none. */
  public static Span parse(String text) {
    int unit = 0;
    while (unit < text.length()
        && (Character.isDigit(text.charAt(unit)) || text.charAt(unit) == '.')) {
      unit++;
    }
    double micros =
        switch (text.substring(unit).trim()) {
          case "us" -> 1;
          case "ms" -> 1e3;
          case "s" -> 1e6;
          case "m" -> 60e6;
          case "h" -> 3600e6;
          default -> -1;
        };
    try {
      return micros < 0
          ? null
          : new Span(Math.round(Double.parseDouble(text.substring(0, unit)) * micros));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /**
   * Returns the span as a whole number of the largest unit up to seconds that expresses it exactly.
   */
  public static String format(Span span) {
    long micros = span.micros();
    if (micros % MICROS_PER_SECOND == 0) {
      return micros / MICROS_PER_SECOND + "s";
    }
    return micros % MICROS_PER_MILLI == 0 ? micros / MICROS_PER_MILLI + "ms" : micros + "us";
  }
}
