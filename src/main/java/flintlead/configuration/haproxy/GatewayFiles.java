package flintlead.configuration.haproxy;

import flintlead.routing.pool.Route;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The files that an import writes: one for each section with routes, and one for each backend that
 * clients come to directly.
 */
final class GatewayFiles {

  private final Backends backends;

  /**
   * By the section that a file is for: a backend's name, or a frontend's with its place in the
   * source.
   */
  private final Map<String, GatewayFile> files = new LinkedHashMap<>();

  /** Files of sections with routes of their own. */
  private final Map<SourceSection, GatewayFile> routed = new HashMap<>();

  /** Backends that are a pool in some file. */
  private final Set<SourceSection> placed = new HashSet<>();

  GatewayFiles(Backends backends) {
    this.backends = backends;
  }

  Collection<GatewayFile> all() {
    return files.values();
  }

  /** Adds the file of a section with routes of its own. */
  void addRouted(SourceSection section, GatewayFile file) {
    // A frontend may have the name of a backend.
    String key =
        section.is("listen") ? section.name() : section.name() + "\n" + section.head().where();
    files.put(key, file);
    routed.put(section, file);
    placed.addAll(file.prunePools());
  }

  /** Returns the file of a section with routes of its own; null where it has none. */
  GatewayFile routed(SourceSection section) {
    return routed.get(section);
  }

  boolean isPlaced(SourceSection backend) {
    return placed.contains(backend);
  }

  /**
   * Returns the file of a backend that clients come to directly; it is made where there is none
   * yet.
   */
  GatewayFile ofBackend(SourceSection backend) {
    return files.computeIfAbsent(
        backend.name(),
        name -> {
          GatewayFile file = new GatewayFile(GatewayFile.fileName(name), backend.head());
          file.addRoute(Route.catchAll(file.addPool(backend, backends.servers(name))));
          placed.add(backend);
          return file;
        });
  }
}
