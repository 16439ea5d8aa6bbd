package flintlead.configuration.haproxy;

import flintlead.configuration.haproxy.ImportReport.LineOutcome;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.NamePattern;
import flintlead.routing.pool.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Turns the {@code use_backend} rules of one frontend or listen section into routes of a gateway's
 * file.
 */
final class RuleImporter {

  /**
   * A route may need a pool for its target, one for the rest of a share, and one more for each
   * condition.
   */
  private static final int MAX_TARGET_POOLS = 3;

  private final SourceSection section;
  private final Backends backends;
  private final ImportReport report;
  private final GatewayFile file;
  private final RuleParser parser;

  /** Where all goes that no rule matches; null for nowhere. */
  private final String fallback;

  RuleImporter(SourceSection section, Backends backends, ImportReport report) {
    this.section = section;
    this.backends = backends;
    this.report = report;
    this.file = new GatewayFile(GatewayFile.fileName(section.name()), section.head());
    this.parser = new RuleParser(acls(section), section.name());
    this.fallback = backends.defaultBackend(section);
  }

  private static Map<String, List<SourceLine>> acls(SourceSection section) {
    Map<String, List<SourceLine>> acls = new HashMap<>();
    for (SourceLine line : section.lines()) {
      if (line.keyword().equals("acl") && isCompleteAcl(line)) {
        acls.computeIfAbsent(line.word(1), any -> new ArrayList<>()).add(line);
      }
    }
    return acls;
  }

  private static boolean isCompleteAcl(SourceLine line) {
    return line.words().size() > 2;
  }

  /**
   * Returns the file with the section's routes; empty where no rule can be taken over. Reports the
   * lines of rules and ACLs.
   */
  Optional<GatewayFile> importRules() {
    List<SourceLine> rules =
        section.lines().stream().filter(line -> line.keyword().equals("use_backend")).toList();
    for (int i = 0; i < rules.size(); i++) {
      boolean isLast = i == rules.size() - 1;
      importRule(rules.get(i), isLast);
    }
    section.lines().stream().filter(line -> line.keyword().equals("acl")).forEach(this::reportAcl);
    if (file.routes().isEmpty()) {
      return Optional.empty();
    }
    if (!file.hasCatchAllRoute()) {
      addFallback();
    }
    return Optional.of(file);
  }

  private void reportAcl(SourceLine line) {
    if (!isCompleteAcl(line)) {
      report.add(line, LineOutcome.UNKNOWN, "write acl NAME CRITERION VALUE");
    } else if (parser.isUsed(line.word(1))) {
      report.add(line, LineOutcome.MAPPED, "");
    } else {
      report.add(line, LineOutcome.DROPPED, "no rule that could be taken over asks for it");
    }
  }

  private void addFallback() {
    if (fallback != null && backends.hasServers(fallback)) {
      file.addRoute(Route.catchAll(addPool(fallback)));
      return;
    }
    String last = file.routes().get(file.routes().size() - 1).targets().get(0).pool();
    report.assume(
        "'"
            + section.name()
            + "': what meets no rule goes to '"
            + last
            + "', as no backend with servers stands behind it by default");
    file.addRoute(Route.catchAll(last));
  }

  private String addPool(String backend) {
    return file.addPool(backends.section(backend), backends.servers(backend));
  }

  // ---- one rule ----

  private void importRule(SourceLine line, boolean isLast) {
    String backend = line.word(1);
    if (!backends.contains(backend)) {
      boolean isExpression = backend.contains("%[");
      report.add(
          line,
          isExpression ? LineOutcome.DROPPED : LineOutcome.UNKNOWN,
          isExpression
              ? "a route leads to a pool by its name"
              : "there is no backend '" + backend + "'");
    } else if (!backends.hasServers(backend)) {
      report.add(
          line, LineOutcome.DROPPED, "'" + backend + "' has no server that can be taken over");
    } else {
      try {
        addRoutes(line, parser.parse(line.wordsFrom(2)), isLast);
      } catch (UnmappableRuleException e) {
        report.add(
            line, LineOutcome.DROPPED, e.getMessage() + "; what meets it goes on to the next rule");
      }
    }
  }

  private void addRoutes(SourceLine line, RuleParser.Rule rule, boolean isLast)
      throws UnmappableRuleException {
    if (rule.alternatives().isEmpty()) {
      report.add(line, LineOutcome.DROPPED, "it never holds");
      return;
    }
    boolean anyReached = false;
    for (RouteAlternative alternative : rule.alternatives()) {
      anyReached |= file.addRoute(route(alternative, line.word(1), isLast));
    }
    if (!anyReached) {
      report.add(
          line, LineOutcome.DROPPED, "it is never reached: a rule above meets all that it meets");
      return;
    }
    List<String> differences = new ArrayList<>();
    if (rule.asksForPaths()) {
      differences.add("a path is a function's name here, without its first '/'");
    }
    if (rule.alternatives().stream().anyMatch(RouteAlternative::isByChance)) {
      differences.add("a repeat with the same token goes the same way");
    }
    report.add(
        line,
        differences.isEmpty() ? LineOutcome.MAPPED : LineOutcome.DIFFERS,
        String.join("; ", differences));
  }

  private Route route(RouteAlternative alternative, String backend, boolean isLast)
      throws UnmappableRuleException {
    checkMappable(alternative, isLast);
    String pool = addPool(backend);
    List<Route.Condition> conditions = new ArrayList<>();
    for (Route.Condition each : alternative.when()) {
      conditions.add(new Route.Condition(addPool(each.pool()), each.below(), each.readyHosts()));
    }
    List<Route.Target> targets = new ArrayList<>();
    targets.add(new Route.Target(pool, alternative.chance()));
    if (alternative.isByChance()) {
      targets.add(new Route.Target(addPool(fallback), 1 - alternative.chance()));
    }
    List<NamePattern> functions =
        alternative.functions() == null ? List.of() : alternative.functions();
    return new Route(
        functions, List.of(), List.of(), conditions, targets, Route.SplitKey.INVOCATION);
  }

  private void checkMappable(RouteAlternative alternative, boolean isLast)
      throws UnmappableRuleException {
    for (Route.Condition condition : alternative.when()) {
      if (!backends.contains(condition.pool()) || !backends.hasServers(condition.pool())) {
        throw new UnmappableRuleException(
            "'" + condition.pool() + "' has no server that can be taken over");
      }
    }
    int pools = file.pools().size() + alternative.when().size() + MAX_TARGET_POOLS;
    // Each pool may need another one for its backups.
    if (pools > Layout.MAX_POOLS / 2) {
      throw new UnmappableRuleException(
          "a gateway has at most " + Layout.MAX_POOLS + " pools, those of backups among them");
    }
    boolean hasFallback = isLast && fallback != null && backends.hasServers(fallback);
    if (alternative.isByChance() && !hasFallback) {
      throw new UnmappableRuleException(
          "a share by chance can be kept in the last rule only, before a default_backend");
    }
  }
}
