package flintlead.yaml;

import flintlead.gateway.Terms;
import flintlead.port.TriggerType.Effect;
import flintlead.port.TriggerType.Group;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the terms of a gateway: trigger types, customers, functions, rules and what hosts do. */
public final class TermsReader {

    private static final Span SHORTEST = new Span(1);
    private static final Span LONGEST = Span.ofMillis(3_600_000);
    private static final Span TIMEOUT_MOST = Span.ofMillis(600_000);
    private static final double MOST = 1e9;

    private TermsReader() {
    }

    /** The terms in a section; faults are collected there, and the terms returned then are of no use. */
    public static Terms read(Section top, String gateway, Faults faults) {
        List<Terms.Trigger> triggers = new ArrayList<>();
        for (Section each : top.list("triggerTypes")) {
            triggers.add(trigger(each));
        }
        List<Terms.Customer> customers = new ArrayList<>();
        for (Section each : top.list("customers")) {
            customers.add(new Terms.Customer(each.text("name", null), each.number("perSecond", 100, 0, MOST)));
            each.end();
        }
        Map<String, Terms.Footprint> functions = new HashMap<>();
        for (Section each : top.list("functions")) {
            functions.put(each.text("name", null), footprint(each));
            each.end();
        }
        Section group = top.section("gateway");
        int index = group.whole("index", 0, 0, 65_534);
        int gateways = group.whole("of", 1, 1, 65_535);
        String name = group.text("name", gateway);
        int zone = group.whole("zone", 0, 0, 65_535);
        group.end();
        Terms.Rules rules = rules(top.section("rules"));
        Terms.Hosts hosts = hosts(top.section("workers"));
        try {
            return new Terms(name, index, gateways, zone, triggers, customers, functions, rules, hosts);
        } catch (IllegalArgumentException e) {
            faults.add(top.line(), "triggerTypes, customers or gateway", e.getMessage(),
                "see the example in docs/operating.md");
            return Terms.usual(gateway);
        }
    }

    private static Terms.Trigger trigger(Section from) {
        Span objective = from.span("latencyObjective", Span.ofMillis(1_000), SHORTEST, TIMEOUT_MOST);
        Span timeout = from.span("clientTimeout", Span.ofMillis(3_000), SHORTEST, TIMEOUT_MOST);
        if (objective.isLongerThan(timeout)) {
            from.wrong("latencyObjective", "is longer than the client timeout", "make it shorter");
        }
        Terms.Trigger trigger = new Terms.Trigger(from.text("name", null), objective, timeout,
            from.number("billedValue", 1, 0, MOST), from.oneOf("effect", Effect.NON_IDEMPOTENT),
            from.oneOf("group", Group.ALL), from.span("window", Span.ofMillis(2_000), Span.ZERO, LONGEST),
            footprint(from));
        from.end();
        return trigger;
    }

    private static Terms.Footprint footprint(Section from) {
        return new Terms.Footprint(from.number("memoryMb", 200, 0, MOST), from.number("lanes", 1, 1, 1_000),
            from.span("load", Span.ofMillis(300), Span.ZERO, LONGEST));
    }

    public static Terms.Rules rules(Section from) {
        Terms.Rules usual = Terms.Rules.USUAL;
        Terms.Rules rules = new Terms.Rules(from.span("answerSlack", usual.answerSlack(), Span.ZERO, LONGEST),
            from.span("drainGrace", usual.drainGrace(), Span.ZERO, LONGEST),
            from.number("coldFrom", usual.coldFrom(), 0.001, 1),
            from.span("warmAfter", usual.warmAfter(), SHORTEST, LONGEST),
            from.number("fallMultiple", usual.fallMultiple(), 0.1, 1_000),
            from.span("overloadFor", usual.overloadFor(), SHORTEST, LONGEST),
            from.span("loadsWithin", usual.loadsWithin(), Span.ZERO, LONGEST),
            from.number("freeLoads", usual.freeLoads(), 0, MOST), from.number("loadShare", usual.loadShare(), 0, 100));
        from.end();
        return rules;
    }

    public static Terms.Hosts hosts(Section from) {
        Terms.Hosts usual = Terms.Hosts.USUAL;
        Terms.Hosts hosts = new Terms.Hosts(from.whole("dispatches", usual.dispatchCap(), 1, 16),
            from.flag("secondCopies", usual.secondCopies()), from.flag("loadWhenAbsent", usual.loadsWhenAbsent()),
            from.flag("orders", usual.orders()), from.flag("tellWarm", usual.tellsWarm()),
            from.flag("tellCrowd", usual.tellsCrowd()), from.span("idleLife", usual.idleLife(), SHORTEST, LONGEST),
            from.span("loadWait", usual.loadWait(), SHORTEST, LONGEST), from.texts("reports", usual.reportNames()));
        from.end();
        return hosts;
    }
}
