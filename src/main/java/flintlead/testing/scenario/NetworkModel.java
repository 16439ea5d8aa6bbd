package flintlead.testing.scenario;

import flintlead.configuration.yaml.YamlSection;
import flintlead.time.Span;

/**
 * The behaviour of the simulated network.
 *
 * @param latency one way, between two machines in one hall
 * @param jitter the most that is added to the latency at random
 * @param windowBytes bytes in transit or unread on a stream, beyond which the sender is held back
 * @param interHallLatency latency that is added between machines in different halls
 * @param lossRate share of messages that are lost and sent again; what follows on the stream waits
 *     for them
 * @param retransmitTimeout from a loss to the retransmission
 * @param bytesPerSecond of one stream in one direction; 0 for no limit
 */
public record NetworkModel(
    Span latency,
    Span jitter,
    int windowBytes,
    Span interHallLatency,
    double lossRate,
    Span retransmitTimeout,
    double bytesPerSecond) {

  /** A fast and reliable network. */
  public static final NetworkModel DEFAULT =
      new NetworkModel(
          new Span(100), new Span(100), 256 << 10, Span.ZERO, 0, Span.ofMillis(200), 0);

  private static final Span MAX_SPAN = Span.ofMillis(10_000);

  /** Reads the section {@code network} of a scenario file. */
  public static NetworkModel read(YamlSection section) {
    NetworkModel network =
        new NetworkModel(
            section.span("latency", DEFAULT.latency, Span.ZERO, MAX_SPAN),
            section.span("jitter", DEFAULT.jitter, Span.ZERO, MAX_SPAN),
            section.integer("window", DEFAULT.windowBytes, 1_024, 1 << 30),
            section.span("betweenHalls", DEFAULT.interHallLatency, Span.ZERO, MAX_SPAN),
            section.number("loss", 0, 0, 0.9),
            section.span("resend", DEFAULT.retransmitTimeout, new Span(1), MAX_SPAN),
            section.number("bytesPerSecond", 0, 0, 1e12));
    section.rejectUnknownKeys();
    return network;
  }
}
