package flintlead.arrivals;

import flintlead.time.Span;
import flintlead.yaml.Section;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;

/**
 * How invocations come, as a file says it.
 *
 * @param factor of a burst over a calm time
 * @param calm mean length of a calm time, or the period of a day
 * @param swing of a day's rate about its mean
 * @param trace the file of arrivals; null for none
 */
public record Traffic(Process process, double factor, Span calm, Span burst, double swing, Path trace) {

    /** The processes there are. */
    public enum Process { POISSON, BURSTS, DIURNAL, TRACE }

    public static final Traffic USUAL = new Traffic(Process.POISSON, 4, Span.ofMillis(4_000), Span.ofMillis(1_000), 0.5, null);

    private static final Span LONGEST = Span.ofMillis(86_400_000);

    /** Reads the section {@code arrivals}. */
    public static Traffic read(Section section) {
        String trace = section.text("trace", "");
        Process process = section.oneOf("process", trace.isEmpty() ? Process.POISSON : Process.TRACE);
        if (process == Process.TRACE && trace.isEmpty()) {
            section.wrong("process", "trace needs a file", "add trace: with the file's name");
        }
        Traffic traffic = new Traffic(process, section.number("factor", USUAL.factor, 1, 1_000),
            section.span(process == Process.DIURNAL ? "period" : "calm", USUAL.calm, Span.ofMillis(1), LONGEST),
            section.span("burst", USUAL.burst, Span.ofMillis(1), LONGEST), section.number("swing", USUAL.swing, 0, 1),
            trace.isEmpty() ? null : Path.of(trace));
        section.end();
        return traffic;
    }

    /** The process with its chance. */
    public Arrivals begin(double perSecond, Random random) throws IOException {
        return switch (process) {
            case POISSON -> Arrivals.poisson(perSecond, random);
            case BURSTS -> Arrivals.bursts(perSecond, factor, calm, burst, random);
            case DIURNAL -> Arrivals.diurnal(perSecond, swing, calm, random);
            case TRACE -> Trace.read(trace);
        };
    }
}
