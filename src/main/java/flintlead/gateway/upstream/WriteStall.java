package flintlead.gateway.upstream;

import flintlead.time.Moment;
import flintlead.transport.loop.Stream;

/** Detects a host that does not read: a connection's unsent bytes stay at or above the limit. */
final class WriteStall {

  private final UpstreamLimits limits;

  /** Since when the unsent bytes have reached the limit; null while they are below it. */
  private Moment since;

  WriteStall(UpstreamLimits limits) {
    this.limits = limits;
  }

  /** Whether the unsent bytes have reached the limit, so that no more may be written. */
  boolean isStalled(Stream stream) {
    return stream.pendingBytes() >= limits.unsentBytes();
  }

  /** Called after each request was written. */
  void written(Stream stream, Moment now) {
    if (since == null && isStalled(stream)) {
      since = now;
    }
  }

  /** Called when the kernel has accepted all written bytes. */
  void drained() {
    since = null;
  }

  /** Whether the stall has lasted longer than the write stall timeout. */
  boolean hasTimedOut(Stream stream, Moment now) {
    if (since != null && !isStalled(stream)) {
      since = null;
    }
    return since != null && now.since(since).isLongerThan(limits.writeStallTimeout());
  }
}
