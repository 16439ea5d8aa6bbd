package flintlead.testing.arrivals;

import flintlead.time.Span;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Arrivals from a file: one per line, {@code milliseconds[,function[,work in milliseconds]]}, in
 * the order of time; empty lines and those that begin with {@code #} are skipped. Functions may
 * have any names; they are numbered as they appear.
 */
public final class TraceArrivals implements ArrivalProcess {

  /** Longer files are rejected: they would not fit into memory. */
  public static final int MAX_LINES = 10_000_000;

  private static final double NUMBER_LIMIT = 1e12;

  private final List<Arrival> arrivals;
  private int next;

  private TraceArrivals(List<Arrival> arrivals) {
    this.arrivals = arrivals;
  }

  /**
   * Reads a file.
   *
   * @throws IOException also for a malformed line, with its number and what is wrong with it
   */
  public static TraceArrivals read(Path file) throws IOException {
    try (BufferedReader lines = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      Parser parser = new Parser(file);
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        parser.read(line);
      }
      return new TraceArrivals(parser.arrivals);
    }
  }

  private static final class Parser {
    private final Path file;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Integer> functions = new HashMap<>();
    private int lineNumber;
    private double lastMillis;

    Parser(Path file) {
      this.file = file;
    }

    void read(String line) throws IOException {
      lineNumber++;
      if (line.isBlank() || line.startsWith("#")) {
        return;
      }
      if (arrivals.size() == MAX_LINES) {
        throw error("more than " + MAX_LINES + " arrivals; cut the file");
      }
      String[] fields = line.split(",", -1);
      double millis = number(fields[0], "a time in milliseconds");
      if (millis < lastMillis) {
        throw error(
            "time "
                + fields[0].trim()
                + " lies before that of the line above; sort the file by time");
      }
      lastMillis = millis;
      boolean hasFunction = fields.length > 1 && !fields[1].isBlank();
      boolean hasWork = fields.length > 2 && !fields[2].isBlank();
      int function =
          hasFunction ? functions.computeIfAbsent(fields[1].trim(), any -> functions.size()) : -1;
      double workMs = hasWork ? number(fields[2], "work in milliseconds") : 0;
      arrivals.add(new Arrival(Span.ofMillis(millis), function, workMs));
    }

    private double number(String text, String what) throws IOException {
      try {
        double number = Double.parseDouble(text.trim());
        if (number >= 0 && number < NUMBER_LIMIT) {
          return number;
        }
      } catch (NumberFormatException e) {
        // Reported below together with a number out of range.
      }
      throw error("'" + text.trim() + "' should be " + what + ", 0 or more");
    }

    private IOException error(String message) {
      return new IOException(file + ":" + lineNumber + ": " + message);
    }
  }

  /** How many arrivals there are. */
  public int size() {
    return arrivals.size();
  }

  @Override
  public Arrival next(double rateFactor) {
    return next < arrivals.size() ? arrivals.get(next++) : null;
  }
}
