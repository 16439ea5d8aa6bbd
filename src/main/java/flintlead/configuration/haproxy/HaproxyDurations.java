package flintlead.configuration.haproxy;

import flintlead.time.Span;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Spans of time as the manual writes them (2.5): a whole number and us, ms, s, m, h or d;
 * milliseconds without a unit.
 */
final class HaproxyDurations {

  private static final Pattern FORM = Pattern.compile("(\\d{1,12})(us|ms|s|m|h|d)?");

  /** The largest span that the manual allows: a 32-bit number of milliseconds. */
  private static final long MAX_MICROS = Integer.MAX_VALUE * 1_000L;

  private HaproxyDurations() {}

  /** Returns the span that the text stands for; null where it is none. */
  static Span read(String text) {
    Matcher form = FORM.matcher(text);
    if (!form.matches()) {
      return null;
    }
    long number = Long.parseLong(form.group(1));
    long unitMicros =
        switch (form.group(2) == null ? "ms" : form.group(2)) {
          case "us" -> 1L;
          case "ms" -> 1_000L;
          case "s" -> 1_000_000L;
          case "m" -> 60_000_000L;
          case "h" -> 3_600_000_000L;
          default -> 86_400_000_000L;
        };
    return number > MAX_MICROS / unitMicros ? null : new Span(number * unitMicros);
  }
}
