package flintlead.daemon;

import static flintlead.daemon.ConfigLimits.MAX_BYTES;
import static flintlead.daemon.ConfigLimits.MAX_COUNT;
import static flintlead.daemon.ConfigLimits.MAX_SPAN;
import static flintlead.daemon.ConfigLimits.MIN_SPAN;

import flintlead.configuration.yaml.YamlSection;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.time.Span;

/**
 * Reads the key {@code bounds}: limits of admission, of client connections and of host connections.
 */
final class BoundsReader {

  private static final int MIN_FRAME_BYTES = 64;
  private static final int MAX_FRAME_BYTES = 1 << 30;
  private static final int MAX_HOST_CONNECTIONS = 64;

  private BoundsReader() {}

  static AdmissionController.Limits admission(YamlSection from) {
    AdmissionController.Limits usual = AdmissionController.Limits.DEFAULTS;
    long unsent = bytes(from, "unsentBytes", usual.unsentPauseBytes());
    long unsentMost = bytes(from, "unsentMostBytes", Math.max(unsent, usual.unsentCloseBytes()));
    if (unsentMost < unsent) {
      from.addError("unsentMostBytes", "is below unsentBytes", "make it at least " + unsent);
      unsentMost = unsent;
    }
    return new AdmissionController.Limits(
        from.integer("taken", usual.maxInvocations(), 1, MAX_COUNT),
        bytes(from, "takenBytes", usual.maxBytes()),
        from.number("share", usual.freeShareMultiple(), 0.01, 1e6),
        from.integer("window", usual.connectionWindow(), 1, MAX_COUNT),
        bytes(from, "windowBytes", usual.connectionWindowBytes()),
        unsent,
        unsentMost,
        from.span("patience", usual.unsentTimeout(), MIN_SPAN, MAX_SPAN));
  }

  private static long bytes(YamlSection from, String key, long usual) {
    return (long) from.number(key, usual, 1, MAX_BYTES);
  }

  static FrontLimits front(YamlSection from) {
    FrontLimits usual = FrontLimits.DEFAULTS;
    return new FrontLimits(
        from.integer("connections", usual.maxConnections(), 1, MAX_COUNT),
        from.integer("frameBytes", usual.frameBytes(), MIN_FRAME_BYTES, MAX_FRAME_BYTES),
        from.span("idleLeast", usual.evictableAfterIdle(), Span.ZERO, MAX_SPAN));
  }

  static UpstreamLimits links(YamlSection from) {
    UpstreamLimits usual = UpstreamLimits.DEFAULTS;
    return new UpstreamLimits(
        from.integer("hostConnections", usual.connectionsPerHost(), 1, MAX_HOST_CONNECTIONS),
        from.integer("allHostConnections", usual.totalConnections(), 1, MAX_COUNT),
        from.number("dialsPerSecond", usual.connectsPerSecond(), 0.1, MAX_COUNT),
        from.integer("hostInFlight", usual.requestsPerConnection(), 1, MAX_COUNT),
        from.integer("hostWaiting", usual.pendingRequests(), 1, MAX_COUNT),
        bytes(from, "hostUnsentBytes", usual.unsentBytes()),
        from.integer("hostFrameBytes", usual.frameBytes(), MIN_FRAME_BYTES, MAX_FRAME_BYTES),
        from.span("dialTime", usual.connectTimeout(), MIN_SPAN, MAX_SPAN),
        from.span("stuckAfter", usual.writeStallTimeout(), MIN_SPAN, MAX_SPAN),
        from.span("idleAfter", usual.idleTimeout(), MIN_SPAN, MAX_SPAN));
  }
}
