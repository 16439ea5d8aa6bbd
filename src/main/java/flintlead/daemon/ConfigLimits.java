package flintlead.daemon;

import flintlead.time.Span;

/** Bounds of what a configuration file may ask for. */
final class ConfigLimits {

  static final Span MIN_SPAN = new Span(1);
  static final Span MAX_SPAN = Span.ofMillis(3_600_000);
  static final int MAX_COUNT = 1_000_000;
  static final double MAX_BYTES = 1L << 40;
  static final int MAX_ID = 65_535;

  private ConfigLimits() {}
}
