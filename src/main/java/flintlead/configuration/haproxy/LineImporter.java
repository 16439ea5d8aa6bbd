package flintlead.configuration.haproxy;

import flintlead.configuration.haproxy.ImportReport.LineOutcome;
import java.util.List;
import java.util.Objects;

/**
 * Reports what becomes of every line that is no server and no rule, and takes over the addresses of
 * {@code bind} lines.
 */
final class LineImporter {

  private static final int MAX_CONNECTIONS = 1_000_000;
  private static final String MODES = "http|tcp|log|haterm|spop";

  private final HaproxySource source;
  private final Backends backends;
  private final GatewayFiles files;
  private final ImportReport report;

  LineImporter(HaproxySource source, Backends backends, GatewayFiles files, ImportReport report) {
    this.source = source;
    this.backends = backends;
    this.files = files;
    this.report = report;
  }

  /** Reports the section's head, and the lines that are not reported elsewhere. */
  void importLines(SourceSection section) {
    boolean counted = backends.isCounted(section);
    if (!section.isSupported()) {
      report.add(section.head(), LineOutcome.DROPPED, "there are no such sections here");
    } else if (!counted) {
      report.add(section.head(), LineOutcome.DROPPED, "a section of this name stands above");
    } else {
      report.add(section.head(), LineOutcome.MAPPED, "");
    }
    for (SourceLine line : section.lines()) {
      if (!counted) {
        report.add(line, LineOutcome.DROPPED, "its section has no place here");
      } else if (!isReportedElsewhere(section, line)) {
        importLine(section, line);
      }
    }
  }

  /**
   * Servers are reported by {@link ServerImporter}, rules and ACLs of sections that may have them
   * by {@link RuleImporter}.
   */
  private static boolean isReportedElsewhere(SourceSection section, SourceLine line) {
    return switch (line.keyword()) {
      case "server", "default-server" -> true;
      case "use_backend", "acl" -> section.isEntry();
      default -> false;
    };
  }

  private void importLine(SourceSection section, SourceLine line) {
    boolean negated = line.keyword().equals("no") && line.words().size() > 1;
    SourceLine plain =
        negated ? new SourceLine(line.file(), line.number(), line.wordsFrom(1)) : line;
    switch (plain.keyword()) {
      case "bind" -> bind(section, line);
      case "default_backend" -> defaultBackend(section, line);
      case "use_backend" ->
          report.add(
              line, LineOutcome.UNKNOWN, "use_backend stands in frontend and listen sections");
      case "acl" ->
          report.add(
              line,
              LineOutcome.DROPPED,
              "only rules that choose a backend are taken over, and none stands here");
      case "timeout" -> timeout(line);
      case "maxconn" -> maxConnections(section, line);
      case "retries" -> retries(line);
      case "balance" ->
          report.add(
              line,
              LineOutcome.DIFFERS,
              "hosts are chosen by the warm search, then by the function's walk, whatever the"
                  + " balance");
      case "mode" -> mode(line);
      case "option" -> option(line, plain.word(1));
      default ->
          reportUnsupported(
              line, UnsupportedKeywords.dropped(plain.keyword()), "no keyword of the manual");
    }
  }

  private void reportUnsupported(SourceLine line, String reason, String otherwise) {
    report.add(
        line,
        reason == null ? LineOutcome.UNKNOWN : LineOutcome.DROPPED,
        reason == null ? otherwise : reason);
  }

  // ---- where clients come in ----

  private void bind(SourceSection section, SourceLine line) {
    if (!section.isEntry()) {
      report.add(line, LineOutcome.UNKNOWN, "bind stands in frontend and listen sections");
      return;
    }
    boolean missing = line.word(1).isEmpty();
    List<String> addresses = missing ? null : HaproxyAddresses.all(line.word(1));
    if (addresses == null) {
      report.add(
          line,
          missing ? LineOutcome.UNKNOWN : LineOutcome.DROPPED,
          "'" + line.word(1) + "': addresses must be in figures with a port, or unix@/path");
      return;
    }
    List<String> parameters = line.wordsFrom(2);
    if (parameters.contains("ssl") || parameters.contains("quic")) {
      report.add(line, LineOutcome.DROPPED, "no TLS is spoken here");
      return;
    }
    GatewayFile file = fileOf(section);
    if (file == null) {
      report.add(line, LineOutcome.DROPPED, "no backend with servers stands behind it by default");
      return;
    }
    addresses.forEach(file::addAddress);
    file.boundConnections(connectionsOf(section));
    report.add(
        line,
        parameters.isEmpty() ? LineOutcome.MAPPED : LineOutcome.DIFFERS,
        parameters.isEmpty()
            ? ""
            : "without '" + String.join(" ", parameters) + "', which has no meaning here");
  }

  /** Returns the file that the section's clients come to; null where nothing stands behind it. */
  private GatewayFile fileOf(SourceSection section) {
    GatewayFile routed = files.routed(section);
    if (routed != null) {
      return routed;
    }
    String backend = backends.defaultBackend(section);
    return backend == null || !backends.hasServers(backend)
        ? null
        : files.ofBackend(backends.section(backend));
  }

  /** Returns the bound of client connections that holds for the section; 0 for none. */
  private int connectionsOf(SourceSection section) {
    SourceLine line = section.last("maxconn", null);
    if (line == null) {
      line =
          source.sections().stream()
              .filter(each -> each.is("global"))
              .map(each -> each.last("maxconn", null))
              .filter(Objects::nonNull)
              .findFirst()
              .orElse(null);
    }
    return line != null && line.word(1).matches("\\d{1,7}")
        ? Math.min(MAX_CONNECTIONS, Integer.parseInt(line.word(1)))
        : 0;
  }

  private void maxConnections(SourceSection section, SourceLine line) {
    String number = line.word(1);
    boolean valid =
        number.matches("\\d{1,7}")
            && Integer.parseInt(number) >= 1
            && Integer.parseInt(number) <= MAX_CONNECTIONS;
    if (!valid) {
      report.add(
          line,
          LineOutcome.UNKNOWN,
          "'maxconn " + number + "' should be a whole number from 1 to " + MAX_CONNECTIONS);
    } else if (section.is("backend")) {
      report.add(
          line,
          LineOutcome.UNKNOWN,
          "maxconn stands in global, defaults, frontend and listen sections");
    } else {
      report.add(
          line,
          LineOutcome.DIFFERS,
          "bounds the client connections of each gateway, the least that holds for it");
    }
  }

  private void defaultBackend(SourceSection section, SourceLine line) {
    if (!backends.contains(line.word(1))) {
      report.add(line, LineOutcome.UNKNOWN, "there is no backend '" + line.word(1) + "'");
    } else if (section.is("backend")) {
      report.add(
          line,
          LineOutcome.UNKNOWN,
          "default_backend stands in defaults, frontend and listen sections");
    } else {
      report.add(line, LineOutcome.MAPPED, "");
    }
  }

  // ---- settings ----

  private void mode(SourceLine line) {
    boolean known = line.word(1).matches(MODES);
    report.add(
        line,
        known ? LineOutcome.DIFFERS : LineOutcome.UNKNOWN,
        known ? "clients and hosts speak JSON-RPC lines" : "write mode http or tcp");
  }

  private void option(SourceLine line, String option) {
    if (option.equals("redispatch")) {
      report.add(
          line,
          LineOutcome.DIFFERS,
          "every further dispatch of an invocation goes to another host");
    } else {
      reportUnsupported(line, UnsupportedKeywords.droppedOption(option), "no option of the manual");
    }
  }

  private void timeout(SourceLine line) {
    String which = line.word(1);
    if (!UnsupportedKeywords.TIMEOUTS.contains(which)) {
      report.add(line, LineOutcome.UNKNOWN, "no wait of the manual");
    } else if (HaproxyDurations.read(line.word(2)) == null) {
      report.add(line, LineOutcome.UNKNOWN, "'" + line.word(2) + "' is no span of time");
    } else {
      switch (which) {
        case "connect" -> report.add(line, LineOutcome.MAPPED, "");
        case "server" ->
            report.add(
                line,
                LineOutcome.DIFFERS,
                "the client timeout: it runs from the taking, all dispatches and holding included");
        case "queue" ->
            report.add(
                line,
                LineOutcome.DROPPED,
                "how long an invocation is held the decisions say, by its latency objective");
        default -> report.add(line, LineOutcome.DROPPED, UnsupportedKeywords.droppedTimeout());
      }
    }
  }

  private void retries(SourceLine line) {
    if (!line.word(1).matches("\\d{1,9}")) {
      report.add(
          line, LineOutcome.UNKNOWN, "'retries " + line.word(1) + "' should be a whole number");
      return;
    }
    int most = GatewayFileWriter.MAX_ATTEMPTS - 1;
    String bound = Integer.parseInt(line.word(1)) > most ? "; at most " + most : "";
    report.add(
        line,
        LineOutcome.DIFFERS,
        "a further dispatch only where the rules call it harmless" + bound);
  }
}
