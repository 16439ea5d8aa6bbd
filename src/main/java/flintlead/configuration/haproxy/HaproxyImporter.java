package flintlead.configuration.haproxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts a source into configuration files of gateways.
 *
 * <p>A frontend or listen section with rules becomes a file whose pools are the backends that it
 * leads to, with a route for each rule. Each other backend or listen section with servers becomes a
 * file of its own; the frontends that lead to it by default are where its clients come in. Servers
 * of one address are one host, in several pools where they stand in several backends; backups are a
 * pool that is spilled over to. Where the source's meaning and this program's differ, this
 * program's holds, and the report says so.
 */
public final class HaproxyImporter {

  private static final String SUFFIX = ".yaml";

  /**
   * The result of an import.
   *
   * @param files texts by file name
   * @param report what became of each line of the source
   */
  public record ImportResult(Map<String, String> files, ImportReport report) {}

  private final HaproxySource source;
  private final String sockets;
  private final ImportReport report = new ImportReport();
  private final Backends backends = new Backends();
  private final GatewayFiles files = new GatewayFiles(backends);

  private HaproxyImporter(HaproxySource source, String sockets) {
    this.source = source;
    this.sockets = sockets;
  }

  /**
   * Converts a source.
   *
   * @param socketDirectory the directory for sockets of gateways that no frontend leads to by
   *     default
   */
  public static ImportResult importSource(HaproxySource source, String socketDirectory) {
    return new HaproxyImporter(source, socketDirectory).run();
  }

  private ImportResult run() {
    collectBackends();
    source.problems().forEach(report::add);
    // Servers first: whether a rule can be kept depends on those of the backend it leads to.
    ServerImporter servers = new ServerImporter(backends, report);
    source.sections().forEach(servers::importServers);
    source.sections().stream()
        .filter(section -> backends.isCounted(section) && section.isEntry())
        .forEach(this::importRules);
    LineImporter lines = new LineImporter(source, backends, files, report);
    source.sections().forEach(lines::importLines);
    for (SourceSection backend : backends.sections()) {
      if (!files.isPlaced(backend) && backends.hasServers(backend.name())) {
        files.ofBackend(backend);
      }
    }
    Map<String, String> texts = writeFiles();
    reportEmptyBackends();
    return new ImportResult(texts, report);
  }

  private void collectBackends() {
    for (SourceSection section : source.sections()) {
      SourceSection other = section.isBackend() ? backends.add(section) : null;
      if (other != null) {
        report.assume(
            section.head().where()
                + ": '"
                + section.name()
                + "' stands twice; only that at "
                + other.head().where()
                + " counts");
      }
    }
  }

  private void importRules(SourceSection section) {
    new RuleImporter(section, backends, report)
        .importRules()
        .ifPresent(file -> files.addRouted(section, file));
  }

  private Map<String, String> writeFiles() {
    Map<String, String> texts = new LinkedHashMap<>();
    for (GatewayFile file : files.all()) {
      if (file.listen().isEmpty()) {
        String socket = "unix:" + sockets + "/" + file.name() + ".sock";
        file.addAddress(socket);
        report.assume(
            "'" + file.name() + "' listens at " + socket + ": no frontend leads to it by default");
      }
      if (texts.containsKey(file.name() + SUFFIX)) {
        report.assume(
            "'"
                + file.name()
                + "' has no file: its name in a file's letters is another's; rename it");
      } else {
        texts.put(file.name() + SUFFIX, GatewayFileWriter.write(file, report));
      }
    }
    return texts;
  }

  private void reportEmptyBackends() {
    for (SourceSection backend : backends.sections()) {
      if (!backends.hasServers(backend.name())) {
        report.assume(
            "'"
                + backend.name()
                + "' has no server that can be taken over: no file is written for it");
      }
    }
  }
}
