package flintlead.configuration.haproxy;

import flintlead.configuration.haproxy.ImportReport.LineOutcome;
import java.util.ArrayList;
import java.util.List;

/** Reads the {@code server} and {@code default-server} lines of sections. */
final class ServerImporter {

  private final Backends backends;
  private final ImportReport report;

  ServerImporter(Backends backends, ImportReport report) {
    this.backends = backends;
    this.report = report;
  }

  /** Adds the section's servers to its backend, and reports their lines. */
  void importServers(SourceSection section) {
    if (!backends.isCounted(section)) {
      return;
    }
    List<String> defaults = inheritedDefaults(section.defaults());
    for (SourceLine line : section.lines()) {
      if (line.keyword().equals("default-server")) {
        addDefaults(line, defaults);
      } else if (line.keyword().equals("server")) {
        addServer(section, line, defaults);
      }
    }
  }

  /**
   * Returns the parameters of the default-server lines of a defaults section and those that it
   * inherits from.
   */
  private static List<String> inheritedDefaults(SourceSection section) {
    List<String> words = new ArrayList<>();
    if (section != null) {
      words.addAll(inheritedDefaults(section.defaults()));
      section.lines().stream()
          .filter(line -> line.keyword().equals("default-server"))
          .forEach(line -> words.addAll(line.wordsFrom(1)));
    }
    return words;
  }

  private void addDefaults(SourceLine line, List<String> defaults) {
    List<String> own = line.wordsFrom(1);
    defaults.addAll(own);
    // A server made up for it shows whether its parameters can be taken over.
    SourceLine madeUp =
        new SourceLine(line.file(), line.number(), List.of("server", "x", "127.0.0.1:1"));
    new ServerLine(madeUp, own).report(line, report);
  }

  private void addServer(SourceSection section, SourceLine line, List<String> defaults) {
    if (!section.isBackend()) {
      report.add(line, LineOutcome.UNKNOWN, "servers stand in backend and listen sections");
      return;
    }
    ServerLine server = new ServerLine(line, defaults);
    boolean repeated =
        backends.servers(section.name()).stream()
            .anyMatch(other -> other.name().equals(server.name()));
    if (server.isMapped() && repeated) {
      report.add(line, LineOutcome.UNKNOWN, "a server '" + server.name() + "' stands above");
      return;
    }
    if (server.isMapped()) {
      backends.addServer(section.name(), server);
    }
    server.noteDifferences();
    server.report(line, report);
  }
}
