package flintlead.routing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.pool.Route.Condition;
import flintlead.routing.pool.Route.SplitKey;
import flintlead.routing.pool.Route.Target;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Each fault of a layout is reported once, with how to correct it; encoding and decoding a layout
 * preserves it.
 */
class LayoutTest {

  private static final Pool A = Pool.of("a", Selector.ALL);
  private static final Pool B =
      new Pool(
          "b",
          new Selector(List.of(new NamePattern("saw-*")), List.of(1), List.of()),
          2,
          10,
          List.of("a"));

  private static Route route(String function, String pool) {
    return new Route(
        List.of(new NamePattern(function)),
        List.of(),
        List.of(),
        List.of(),
        List.of(new Target(pool, 1)),
        SplitKey.FUNCTION);
  }

  private static void assertOneFault(String text, List<Pool> pools, Route... routes) {
    List<String> faults = new Layout(pools, List.of(routes)).validate();
    assertEquals(1, faults.size(), faults.toString());
    assertTrue(faults.get(0).contains(text), faults.get(0));
    assertTrue(faults.get(0).contains("; "), "must state how to correct it: " + faults.get(0));
  }

  @Test
  void aValidLayoutHasNoFaults() {
    assertEquals(
        List.of(),
        new Layout(List.of(A, B), List.of(route("x", "b"), Route.catchAll("a"))).validate());
  }

  @Test
  void eachFaultOfThePoolsIsReportedOnce() {
    List<String> none = new Layout(List.of(), List.of()).validate();
    assertTrue(none.get(0).contains("0 pools"), none.toString());
    assertThrows(IllegalArgumentException.class, () -> new Layout(List.of(A, A), List.of()));
    List<Pool> many = new ArrayList<>();
    for (int i = 0; i <= Layout.MAX_POOLS; i++) {
      many.add(Pool.of("p" + i, Selector.ALL));
    }
    assertOneFault("there may be 1 to 24", many, Route.catchAll("p0"));
    assertOneFault(
        "spills to 'c'",
        List.of(new Pool("a", Selector.ALL, 1, 1, List.of("c"))),
        Route.catchAll("a"));
    assertOneFault(
        "spills to itself",
        List.of(new Pool("a", Selector.ALL, 1, 1, List.of("a"))),
        Route.catchAll("a"));
    assertOneFault(
        "no name that can be written",
        List.of(Pool.of("a b", Selector.ALL)),
        Route.catchAll("a b"));
  }

  @Test
  void eachFaultOfTheRoutesIsReportedOnce() {
    assertOneFault("leads to 'c'", List.of(A), route("x", "c"), Route.catchAll("a"));
    assertOneFault(
        "looks at 'c'",
        List.of(A),
        new Route(
            List.of(),
            List.of(),
            List.of(),
            List.of(new Condition("c", true, 1)),
            List.of(new Target("a", 1)),
            SplitKey.FUNCTION),
        Route.catchAll("a"));
    assertOneFault(
        "leads nowhere",
        List.of(A),
        new Route(
            List.of(new NamePattern("x")),
            List.of(),
            List.of(),
            List.of(),
            List.of(new Target("a", 0)),
            SplitKey.FUNCTION),
        Route.catchAll("a"));
    assertOneFault(
        "route 2 is never reached, as route 1",
        List.of(A),
        route("gr*", "a"),
        route("grade-*", "a"),
        Route.catchAll("a"));
    assertOneFault("end the routes", List.of(A), route("x", "a"));
    assertOneFault("end the routes", List.of(A));
  }

  @Test
  void missingHostsAreReported() {
    List<Layout.HostDescriptor> hosts =
        List.of(
            new Layout.HostDescriptor("saw-1", 1, 0, true),
            new Layout.HostDescriptor("saw-2", 1, 0, false),
            new Layout.HostDescriptor("saw-3", 0, 0, true));
    Layout layout = new Layout(List.of(A, B), List.of(route("x", "b"), Route.catchAll("a")));
    assertEquals(
        1,
        Layout.countReadyHosts(B, hosts),
        "only hosts that are ready and in the pool's zone count");
    assertTrue(layout.validate(hosts).get(0).contains("has 1 ready hosts and is not used below 2"));
    assertTrue(layout.validate(hosts.subList(1, 3)).get(0).contains("no ready host"));
    assertEquals(
        List.of(),
        new Layout(List.of(A, B), List.of(Route.catchAll("a"))).validate(hosts),
        "a pool that no route uses may lack hosts");
    assertTrue(layout.validateNames(java.util.Set.of(), java.util.Set.of()).isEmpty());
    assertTrue(
        new Layout(
                List.of(A),
                List.of(
                    new Route(
                        List.of(),
                        List.of("chek"),
                        List.of(),
                        List.of(),
                        List.of(new Target("a", 1)),
                        SplitKey.FUNCTION)))
            .validateNames(java.util.Set.of("check"), java.util.Set.of())
            .get(0)
            .contains("[chek]"));
  }

  @ParameterizedTest
  @CsvSource({
    "a*b, ab, true",
    "a*b, axb, true",
    "ab*bc, abc, false",
    "*, '', true",
    "a, a, true",
    "a, ab, false",
    "a*, b, false",
    "*b, ab, true"
  })
  void aWildcardStandsForAnyText(String pattern, String name, boolean expected) {
    assertEquals(expected, new NamePattern(pattern).matches(name));
  }

  @Test
  void malformedPatternsAndConditionsAreRejected() {
    for (String malformed : new String[] {"", "a*b*", "a\tb", "a\nb", "\u001f"}) {
      assertThrows(IllegalArgumentException.class, () -> new NamePattern(malformed));
    }
    for (String malformed :
        new String[] {
          "", "ready(a)", "ready(a) > 2", "ready() < 2", "ready(a) < -1", "ready(a) < 9999999"
        }) {
      assertThrows(IllegalArgumentException.class, () -> Condition.parse(malformed));
    }
    assertEquals(
        new Condition("a", false, 3), Condition.parse(new Condition("a", false, 3).toString()));
  }

  // ---- properties ----

  private static final Arbitrary<String> WORD =
      Arbitraries.strings().withChars("ab").ofMaxLength(3);

  @Provide
  Arbitrary<NamePattern> patterns() {
    return Combinators.combine(WORD, WORD, Arbitraries.of(true, false))
        .as((one, other, star) -> star ? one + "*" + other : one + other)
        .filter(text -> !text.isEmpty())
        .map(NamePattern::new);
  }

  /** A route that is reported as unreachable must be unreachable. */
  @Property(seed = "4824")
  void aCoveredPatternMatchesNothingMore(
      @ForAll("patterns") NamePattern one,
      @ForAll("patterns") NamePattern other,
      @ForAll String any) {
    String name = other.text().replace("*", any.length() % 2 == 0 ? "" : "ab");
    assertFalse(
        one.covers(other) && other.matches(name) && !one.matches(name),
        one + " covers " + other + " and not " + name);
    assertTrue(one.covers(one));
  }

  @Provide
  Arbitrary<Layout> layouts() {
    Arbitrary<Selector> selectors =
        Combinators.combine(
                patterns().list().ofMaxSize(3),
                Arbitraries.integers().between(0, 3).list().ofMaxSize(2),
                Arbitraries.integers().between(0, 3).list().ofMaxSize(2))
            .as(Selector::new);
    Arbitrary<Pool> pools =
        Combinators.combine(
                Arbitraries.of("p", "q", "r"),
                selectors,
                Arbitraries.integers().between(0, 3),
                Arbitraries.integers().between(1, 99),
                Arbitraries.of("p", "q", "r").list().ofMaxSize(2))
            .as(Pool::new);
    Arbitrary<Route> routes =
        Combinators.combine(
                patterns().list().ofMaxSize(2),
                Arbitraries.of("check", "lodge").list().ofMaxSize(2),
                Arbitraries.of("mill a", "mill b").list().ofMaxSize(2),
                Arbitraries.of(new Condition("p", true, 2), new Condition("q", false, 0))
                    .list()
                    .ofMaxSize(1),
                Arbitraries.of(new Target("p", 1), new Target("q", 0.25), new Target("r", 1e-7))
                    .list()
                    .ofMaxSize(3),
                Arbitraries.of(SplitKey.values()))
            .as(Route::new);
    return Combinators.combine(
            pools.list().uniqueElements(Pool::name).ofMaxSize(3), routes.list().ofMaxSize(4))
        .as(Layout::new);
  }

  @Property(seed = "4825")
  void aLayoutIsDecodedAsItWasEncoded(
      @ForAll("layouts") Layout layout, @ForAll("layouts") Layout other) {
    assertEquals(layout, Layout.parse(layout.toText().lines().toList()));
    assertEquals(layout.equals(other), layout.toText().equals(other.toText()));
    assertNotEquals(layout, null);
  }

  @Property(seed = "4826")
  void anyLinesAreDecodedOrRejected(@ForAll List<String> lines) {
    try {
      Layout.parse(lines.stream().map(line -> "\tpool\t" + line).toList());
    } catch (IllegalArgumentException e) {
      assertFalse(String.valueOf(e.getMessage()).isEmpty());
    }
  }
}
