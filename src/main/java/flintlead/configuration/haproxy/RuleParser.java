package flintlead.configuration.haproxy;

import flintlead.routing.pool.NamePattern;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Parses the conditions of rules (manual, 7.2) into alternatives, each of which a route can
 * express.
 */
final class RuleParser {

  private static final int MAX_ALTERNATIVES = 64;

  private final Map<String, List<SourceLine>> acls;
  private final AclCriterionParser criteria;
  private final Set<String> usedAcls = new HashSet<>();

  /** Whether the rule being parsed asks for paths. */
  private boolean asksForPaths;

  /**
   * Creates a parser for the rules of one section.
   *
   * @param acls lines by the name of the ACL
   * @param proxy the section's name
   */
  RuleParser(Map<String, List<SourceLine>> acls, String proxy) {
    this.acls = acls;
    this.criteria = new AclCriterionParser(proxy);
  }

  /**
   * A rule that has been parsed.
   *
   * @param alternatives of which one must hold; empty for a rule that never holds
   * @param asksForPaths whether a criterion of it asks for the path
   */
  record Rule(List<RouteAlternative> alternatives, boolean asksForPaths) {}

  /** A named or anonymous ACL: one of its criteria must hold, or none where it is negated. */
  private record Term(List<AclCriterion> criteria, boolean negated) {}

  /** Returns whether a rule parsed so far asks for the ACL. */
  boolean isUsed(String acl) {
    return usedAcls.contains(acl);
  }

  /**
   * Parses a rule.
   *
   * @param words of it after the backend's name: nothing, or {@code if} or {@code unless} and what
   *     follows
   */
  Rule parse(List<String> words) throws UnmappableRuleException {
    asksForPaths = false;
    List<RouteAlternative> alternatives = alternatives(words);
    return new Rule(alternatives, asksForPaths);
  }

  private List<RouteAlternative> alternatives(List<String> words) throws UnmappableRuleException {
    if (words.isEmpty()) {
      return List.of(RouteAlternative.ANY);
    }
    String keyword = words.get(0);
    if (!keyword.equals("if") && !keyword.equals("unless")) {
      throw new UnmappableRuleException("'" + keyword + "' where if or unless should stand");
    }
    List<List<Term>> disjunction = terms(words.subList(1, words.size()));
    List<RouteAlternative> all = keyword.equals("if") ? anyOf(disjunction) : noneOf(disjunction);
    List<RouteAlternative> possible = new ArrayList<>();
    for (RouteAlternative each : all) {
      if (each.isPossible()) {
        add(possible, each);
      }
    }
    return possible;
  }

  // ---- combining terms ----

  private static List<RouteAlternative> anyOf(List<List<Term>> disjunction)
      throws UnmappableRuleException {
    List<RouteAlternative> alternatives = new ArrayList<>();
    for (List<Term> conjunction : disjunction) {
      List<RouteAlternative> all = List.of(RouteAlternative.ANY);
      for (Term term : conjunction) {
        List<RouteAlternative> next = new ArrayList<>();
        combine(all, alternatives(term, false), next);
        all = next;
      }
      alternatives.addAll(all);
    }
    return alternatives;
  }

  /** Of each conjunction at least one term must not hold. */
  private static List<RouteAlternative> noneOf(List<List<Term>> disjunction)
      throws UnmappableRuleException {
    List<RouteAlternative> all = List.of(RouteAlternative.ANY);
    for (List<Term> conjunction : disjunction) {
      List<RouteAlternative> next = new ArrayList<>();
      for (Term term : conjunction) {
        combine(all, alternatives(term, true), next);
      }
      all = next;
    }
    return all;
  }

  /** Adds what holds where one of each list holds. */
  private static void combine(
      List<RouteAlternative> ones, List<RouteAlternative> others, List<RouteAlternative> result)
      throws UnmappableRuleException {
    for (RouteAlternative other : others) {
      for (RouteAlternative one : ones) {
        add(result, one.and(other));
      }
    }
  }

  private static void add(List<RouteAlternative> alternatives, RouteAlternative added)
      throws UnmappableRuleException {
    if (alternatives.size() >= MAX_ALTERNATIVES) {
      throw new UnmappableRuleException("more than " + MAX_ALTERNATIVES + " alternatives");
    }
    if (!alternatives.contains(added)) {
      alternatives.add(added);
    }
  }

  /** What a term asks for, or the opposite of it. */
  private static List<RouteAlternative> alternatives(Term term, boolean opposite)
      throws UnmappableRuleException {
    return term.negated == opposite ? oneOf(term.criteria) : noCriterionOf(term.criteria);
  }

  /** One of the criteria holds; those that ask for functions are one alternative, the last. */
  private static List<RouteAlternative> oneOf(List<AclCriterion> criteria)
      throws UnmappableRuleException {
    List<RouteAlternative> alternatives = new ArrayList<>();
    List<NamePattern> functions = new ArrayList<>();
    for (AclCriterion criterion : criteria) {
      if (criterion instanceof AclCriterion.Functions named) {
        functions.addAll(named.patterns());
      } else if (criterion.holds().isPresent()) {
        add(alternatives, criterion.holds().get());
      }
    }
    if (!functions.isEmpty()) {
      add(alternatives, RouteAlternative.ofFunctions(functions.stream().distinct().toList()));
    }
    return alternatives;
  }

  private static List<RouteAlternative> noCriterionOf(List<AclCriterion> criteria)
      throws UnmappableRuleException {
    RouteAlternative none = RouteAlternative.ANY;
    for (AclCriterion criterion : criteria) {
      Optional<RouteAlternative> opposite = criterion.doesNotHold();
      if (opposite.isEmpty()) {
        return List.of();
      }
      none = none.and(opposite.get());
    }
    return List.of(none);
  }

  // ---- reading terms ----

  /** Returns the conjunctions of terms between the words {@code or}. */
  private List<List<Term>> terms(List<String> words) throws UnmappableRuleException {
    List<List<Term>> disjunction = new ArrayList<>();
    int at = -1;
    do {
      List<Term> conjunction = new ArrayList<>();
      at = readConjunction(words, at + 1, conjunction);
      disjunction.add(conjunction);
    } while (at < words.size());
    return disjunction;
  }

  /** Reads terms up to the next {@code or}, whose place is returned, or to the end. */
  private int readConjunction(List<String> words, int from, List<Term> conjunction)
      throws UnmappableRuleException {
    boolean negated = false;
    int at = from;
    for (; at < words.size() && !isOr(words.get(at)); at++) {
      String name = words.get(at).replaceFirst("^!+", "");
      boolean isOddNegation = (words.get(at).length() - name.length()) % 2 == 1;
      negated ^= isOddNegation;
      if (name.isEmpty()) {
        continue;
      }
      if (name.equals("{")) {
        int length = lengthOfAnonymous(words.subList(at, words.size()));
        conjunction.add(new Term(List.of(criterion(words.subList(at + 1, at + length))), negated));
        at += length;
      } else {
        conjunction.add(new Term(named(name), negated));
      }
      negated = false;
    }
    if (conjunction.isEmpty() || negated) {
      throw new UnmappableRuleException(
          at < words.size()
              ? "nothing stands before '" + words.get(at) + "'"
              : "the rule ends where an ACL should stand");
    }
    return at;
  }

  private static boolean isOr(String word) {
    return word.equals("or") || word.equals("||");
  }

  /** Returns the place of the closing brace of an anonymous ACL that the words begin with. */
  private static int lengthOfAnonymous(List<String> words) throws UnmappableRuleException {
    int end = words.indexOf("}");
    if (end < 2) {
      throw new UnmappableRuleException("'{' is not closed, or nothing stands in it");
    }
    return end;
  }

  private List<AclCriterion> named(String name) throws UnmappableRuleException {
    List<SourceLine> lines = acls.get(name);
    if (lines == null) {
      return switch (name) {
        case "TRUE" -> List.of(new AclCriterion.Constant(true));
        case "FALSE" -> List.of(new AclCriterion.Constant(false));
        default ->
            throw new UnmappableRuleException(
                "there is no ACL '" + name + "' that can be read here");
      };
    }
    usedAcls.add(name);
    List<AclCriterion> all = new ArrayList<>();
    for (SourceLine line : lines) {
      all.add(criterion(line.wordsFrom(2)));
    }
    return all;
  }

  private AclCriterion criterion(List<String> words) throws UnmappableRuleException {
    AclCriterion criterion = criteria.parse(words);
    if (!(criterion instanceof AclCriterion.Functions functions)) {
      return criterion;
    }
    asksForPaths = true;
    return functions.matchesAll() ? new AclCriterion.Constant(true) : functions;
  }
}
