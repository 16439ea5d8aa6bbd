package flintlead.configuration.haproxy;

import flintlead.configuration.haproxy.GatewayFile.ImportedPool;
import flintlead.configuration.yaml.SpanText;
import flintlead.routing.pool.Route;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Writes a gateway's configuration file as YAML, and notes in the report what the source does not
 * say.
 */
final class GatewayFileWriter {

  /** Most attempts at an invocation that a file can ask for. */
  static final int MAX_ATTEMPTS = 16;

  private static final Span DEFAULT_TIMEOUT = Span.ofMillis(3_000);
  private static final Span MAX_TIMEOUT = Span.ofMillis(600_000);
  private static final Span MAX_SPAN = Span.ofMillis(3_600_000);
  private static final Span MIN_SPAN = new Span(1);
  private static final double OBJECTIVE_SHARE = 0.25;
  private static final int MAX_IN_FLIGHT = 1_000_000;

  /** A server as a host: servers of several backends with one address are one host. */
  private static final class ImportedHost {
    private final String name;
    private final ServerLine server;

    /** Whether it is in service in any of its backends. */
    private boolean inService;

    ImportedHost(String name, ServerLine server) {
      this.name = name;
      this.server = server;
    }
  }

  private final GatewayFile file;
  private final ImportReport report;
  private final Map<String, ImportedHost> hostsByAddress = new LinkedHashMap<>();
  private final Set<String> hostNames = new HashSet<>();
  private final StringBuilder text = new StringBuilder();

  private GatewayFileWriter(GatewayFile file, ImportReport report) {
    this.file = file;
    this.report = report;
  }

  /** Returns the file's text. */
  static String write(GatewayFile file, ImportReport report) {
    return new GatewayFileWriter(file, report).write();
  }

  private String write() {
    file.pools()
        .forEach((pool, imported) -> imported.servers().forEach(server -> addHost(pool, server)));
    writeHead();
    writeTriggerType();
    writeHosts();
    if (file.pools().size() > 1
        || file.pools().values().stream().anyMatch(ImportedPool::hasBackups)) {
      writePools();
      writeRoutes();
    }
    writeRules();
    writeAttempts();
    writeBounds();
    return text.toString();
  }

  private void writeHead() {
    SourceLine head = file.head();
    text.append("# From ")
        .append(head.where())
        .append(", ")
        .append(head.keyword())
        .append(' ')
        .append(head.word(1).replaceAll("[^ -~]", "?"))
        .append('\n');
    text.append("listen: ").append(quotedList(file.listen())).append('\n');
    text.append("gateway: {name: ").append(quoted(file.name())).append(", index: 0, of: 1}\n");
  }

  // ---- the trigger type ----

  private void writeTriggerType() {
    Span timeout = timeout();
    Span objective = Span.longer(MIN_SPAN, timeout.times(OBJECTIVE_SHARE));
    assume(
        "one trigger type 'call', non-idempotent, latency objective "
            + SpanText.format(objective)
            + " (a quarter of the client timeout), billed value 1");
    text.append("triggerTypes:\n  - {name: call, latencyObjective: ")
        .append(SpanText.format(objective))
        .append(", clientTimeout: ")
        .append(SpanText.format(timeout))
        .append(", billedValue: 1, effect: non-idempotent}\n");
  }

  private Span timeout() {
    Optional<Span> longest =
        timeouts("server").filter(each -> each.micros() >= 1).reduce(Span::longer);
    if (longest.isEmpty() || longest.get().isLongerThan(MAX_TIMEOUT)) {
      Span timeout = longest.isEmpty() ? DEFAULT_TIMEOUT : MAX_TIMEOUT;
      assume("client timeout " + SpanText.format(timeout));
      return timeout;
    }
    if (file.pools().size() > 1) {
      assume(
          "client timeout "
              + SpanText.format(longest.get())
              + ", the longest of its pools': there is one a trigger type");
    }
    return longest.get();
  }

  /** The pools' timeouts of that kind, as far as they can be read. */
  private Stream<Span> timeouts(String kind) {
    return file.pools().values().stream()
        .map(pool -> pool.section().last("timeout", kind))
        .filter(Objects::nonNull)
        .map(line -> HaproxyDurations.read(line.word(2)))
        .filter(Objects::nonNull);
  }

  private void assume(String what) {
    report.assume("'" + file.name() + "': " + what);
  }

  // ---- hosts ----

  private void addHost(String pool, ServerLine server) {
    ImportedHost host = hostsByAddress.get(server.address());
    if (host == null) {
      host = new ImportedHost(uniqueHostName(pool, server), server);
      hostsByAddress.put(server.address(), host);
    } else if (host.server.weight() != server.weight()) {
      assume(
          server.address()
              + " has weight "
              + (long) host.server.weight()
              + " in one backend and "
              + (long) server.weight()
              + " in another; a host has one, the first");
    }
    host.inService |= server.isInService();
  }

  private String uniqueHostName(String pool, ServerLine server) {
    String plain = server.name().replaceAll("[*\\p{Cntrl}]", "_");
    String name = hostNames.contains(plain) ? pool + "." + plain : plain;
    for (int i = 2; hostNames.contains(name); i++) {
      name = pool + "." + plain + "-" + i;
    }
    hostNames.add(name);
    return name;
  }

  private void writeHosts() {
    text.append("hosts:\n");
    hostsByAddress.forEach(
        (address, host) -> {
          text.append("  - {name: ")
              .append(quoted(host.name))
              .append(", address: ")
              .append(quoted(address));
          if (host.server.hasWeight()) {
            text.append(", weight: ").append((long) host.server.weight());
          }
          text.append(host.inService ? "" : ", state: draining").append("}\n");
        });
  }

  // ---- pools and routes ----

  private void writePools() {
    text.append("pools:\n");
    file.pools()
        .forEach(
            (name, pool) -> {
              if (pool.hasBackups()) {
                String backup = name + GatewayFile.BACKUP_SUFFIX;
                writePool(
                    name,
                    pool.servers().stream().filter(server -> !server.isBackup()).toList(),
                    backup);
                writePool(
                    backup, pool.servers().stream().filter(ServerLine::isBackup).toList(), null);
              } else {
                writePool(name, pool.servers(), null);
              }
            });
  }

  /** Writes a pool with the hosts that are in service in it; where none is, with all of them. */
  private void writePool(String name, List<ServerLine> servers, String spillTo) {
    List<ServerLine> inService = servers.stream().filter(ServerLine::isInService).toList();
    List<String> hosts =
        (inService.isEmpty() ? servers : inService)
            .stream().map(server -> hostsByAddress.get(server.address()).name).distinct().toList();
    text.append("  - {name: ")
        .append(quoted(name))
        .append(", hosts: ")
        .append(quotedList(hosts))
        .append(spillTo == null ? "" : ", spillTo: [" + quoted(spillTo) + "]")
        .append("}\n");
  }

  private void writeRoutes() {
    text.append("routes:\n");
    for (Route route : file.routes()) {
      List<String> parts = new ArrayList<>();
      if (!route.functions().isEmpty()) {
        parts.add(
            "functions: "
                + quotedList(route.functions().stream().map(each -> each.text()).toList()));
      }
      if (!route.conditions().isEmpty()) {
        parts.add(
            "when: " + quotedList(route.conditions().stream().map(Object::toString).toList()));
      }
      parts.add(targets(route));
      text.append("  - {").append(String.join(", ", parts)).append("}\n");
    }
  }

  private static String targets(Route route) {
    if (route.targets().size() == 1) {
      return "to: " + quoted(route.targets().get(0).pool());
    }
    String shares =
        route.targets().stream()
            .map(share -> "{pool: " + quoted(share.pool()) + ", share: " + share.weight() + "}")
            .collect(Collectors.joining(", "));
    return "split: [" + shares + "], by: " + route.splitKey().name().toLowerCase(Locale.ROOT);
  }

  // ---- rules, attempts and bounds ----

  private Stream<ServerLine> servers() {
    return file.pools().values().stream().flatMap(pool -> pool.servers().stream());
  }

  private void writeRules() {
    servers()
        .map(ServerLine::slowStart)
        .filter(span -> span != null && span.micros() > 0)
        .max(Comparator.naturalOrder())
        .ifPresent(
            longest ->
                text.append("rules: {warmAfter: ")
                    .append(SpanText.format(Span.shorter(longest, MAX_SPAN)))
                    .append("}\n"));
  }

  private void writeAttempts() {
    file.pools().values().stream()
        .map(pool -> pool.section().last("retries", null))
        .filter(line -> line != null && line.word(1).matches("\\d{1,9}"))
        .mapToInt(line -> Math.min(MAX_ATTEMPTS - 1, Integer.parseInt(line.word(1))))
        .max()
        .ifPresent(
            retries -> text.append("workers: {dispatches: ").append(1 + retries).append("}\n"));
  }

  private void writeBounds() {
    Set<String> bounds = new TreeSet<>();
    timeouts("connect")
        .filter(span -> span.micros() > 0)
        .reduce(Span::shorter)
        .ifPresent(
            shortest ->
                bounds.add("dialTime: " + SpanText.format(Span.shorter(shortest, MAX_SPAN))));
    servers()
        .filter(server -> server.maxConnections() > 0)
        .mapToInt(server -> Math.min(MAX_IN_FLIGHT, server.maxConnections()))
        .min()
        .ifPresent(least -> bounds.add("hostInFlight: " + least));
    if (file.maxConnections() > 0) {
      bounds.add("connections: " + file.maxConnections());
    }
    if (!bounds.isEmpty()) {
      text.append("bounds: {").append(String.join(", ", bounds)).append("}\n");
    }
  }

  // ---- text ----

  private static String quotedList(Collection<String> texts) {
    return texts.stream()
        .map(GatewayFileWriter::quoted)
        .collect(Collectors.joining(", ", "[", "]"));
  }

  /** Returns the text as a string of JSON, which is one of YAML too. */
  private static String quoted(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        quoted.append('\\').append(c);
      } else if (c < ' ' || c > '~') {
        quoted.append(String.format("\\u%04x", (int) c));
      } else {
        quoted.append(c);
      }
    }
    return quoted.append('"').toString();
  }
}
