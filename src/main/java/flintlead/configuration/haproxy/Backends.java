package flintlead.configuration.haproxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The backend and listen sections of a source, by name, with the servers that can be taken over.
 */
final class Backends {

  private final Map<String, SourceSection> sections = new LinkedHashMap<>();
  private final Map<String, List<ServerLine>> servers = new HashMap<>();

  /** Adds a section, unless there is one of its name; returns that one, or null. */
  SourceSection add(SourceSection section) {
    return sections.putIfAbsent(section.name(), section);
  }

  Collection<SourceSection> sections() {
    return sections.values();
  }

  boolean contains(String name) {
    return sections.containsKey(name);
  }

  SourceSection section(String name) {
    return sections.get(name);
  }

  void addServer(String backend, ServerLine server) {
    servers.computeIfAbsent(backend, any -> new ArrayList<>()).add(server);
  }

  /** Returns the servers that can be taken over. */
  List<ServerLine> servers(String name) {
    return servers.getOrDefault(name, List.of());
  }

  boolean hasServers(String name) {
    return !servers(name).isEmpty();
  }

  /**
   * Returns whether the section counts: it has a counterpart here, and is the first of its name.
   */
  boolean isCounted(SourceSection section) {
    return section.isSupported()
        && (!section.isBackend() || sections.get(section.name()) == section);
  }

  /** Returns the backend that a section leads to by default; null for none. */
  String defaultBackend(SourceSection section) {
    SourceLine line = section.last("default_backend", null);
    if (line != null && contains(line.word(1))) {
      return line.word(1);
    }
    return section.is("listen") ? section.name() : null;
  }
}
