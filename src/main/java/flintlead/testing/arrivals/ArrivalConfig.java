package flintlead.testing.arrivals;

import flintlead.configuration.yaml.YamlSection;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;

/**
 * The configuration of an arrival process.
 *
 * @param factor rate of a burst as a multiple of the calm rate
 * @param calm mean length of a calm time, or the period of a day
 * @param burst mean length of a burst
 * @param amplitude amplitude of a day's rate as a share of its mean, 0 to 1
 * @param trace the file of arrivals; null for none
 */
public record ArrivalConfig(
    Process process, double factor, Span calm, Span burst, double amplitude, Path trace) {

  /**
   * The processes there are. The names, in lower case, are those of files and of the command line.
   */
  public enum Process {
    /** Independent arrivals at a constant rate. */
    POISSON,
    /** Calm times and bursts. */
    BURSTS,
    /** A rate that goes up and down as over a day. */
    DIURNAL,
    /** Arrivals from a file. */
    TRACE
  }

  /** Poisson arrivals, with the defaults of the other processes. */
  public static final ArrivalConfig DEFAULT =
      new ArrivalConfig(Process.POISSON, 4, Span.ofMillis(4_000), Span.ofMillis(1_000), 0.5, null);

  private static final Span MIN_SPAN = Span.ofMillis(1);
  private static final Span MAX_SPAN = Span.ofMillis(86_400_000);

  /** Reads the section {@code arrivals} of a scenario file; what is wrong is collected. */
  public static ArrivalConfig read(YamlSection section) {
    String trace = section.string("trace", "");
    Process process =
        section.enumValue("process", trace.isEmpty() ? Process.POISSON : Process.TRACE);
    if (process == Process.TRACE && trace.isEmpty()) {
      section.addError("process", "trace needs a file", "add trace: with the file's name");
    }
    ArrivalConfig traffic =
        new ArrivalConfig(
            process,
            section.number("factor", DEFAULT.factor, 1, 1_000),
            section.span(
                process == Process.DIURNAL ? "period" : "calm", DEFAULT.calm, MIN_SPAN, MAX_SPAN),
            section.span("burst", DEFAULT.burst, MIN_SPAN, MAX_SPAN),
            section.number("swing", DEFAULT.amplitude, 0, 1),
            trace.isEmpty() ? null : Path.of(trace));
    section.rejectUnknownKeys();
    return traffic;
  }

  /**
   * Starts the process.
   *
   * @param perSecond mean rate; a trace ignores it
   * @throws IOException when the trace can't be read
   */
  public ArrivalProcess start(double perSecond, Random random) throws IOException {
    return switch (process) {
      case POISSON -> ArrivalProcess.poisson(perSecond, random);
      case BURSTS -> ArrivalProcess.bursts(perSecond, factor, calm, burst, random);
      case DIURNAL -> ArrivalProcess.diurnal(perSecond, amplitude, calm, random);
      case TRACE -> TraceArrivals.read(trace);
    };
  }
}
