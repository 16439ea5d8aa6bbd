package flintlead.gateway.upstream;

import flintlead.time.Moment;
import flintlead.transport.loop.Stream;

/** Detects a host that does not read: a connection's unsent bytes stay at or above the limit. */
final class WriteStall {

  private final UpstreamLimits limits;

  /** Since when the unsent bytes have reached the limit; null while they are below it. */
  private Moment stalledSince;

  WriteStall(UpstreamLimits limits) {
    this.limits = limits;
  }

  /** Whether the unsent bytes have reached the limit, so that no more may be written. */
  boolean isStalled(Stream stream) {
    return stream.pendingBytes() >= limits.unsentBytes();
  }

  /** Called after each request was written. */
  void written(Stream stream, Moment now) {
    if (stalledSince == null && isStalled(stream)) {
      stalledSince = now;
    }
  }

  /** Called when the kernel has accepted all written bytes. */
  void drained() {
    stalledSince = null;
  }

  /** Whether the stall has lasted longer than the write stall timeout. */
  boolean hasTimedOut(Stream stream, Moment now) {
    if (stalledSince != null && !isStalled(stream)) {
      stalledSince = null;
    }
    return stalledSince != null && now.since(stalledSince).isLongerThan(limits.writeStallTimeout());
  }
}
