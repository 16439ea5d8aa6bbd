package flintlead.gateway;

import flintlead.port.Deployment;
import flintlead.port.TriggerType;
import flintlead.port.TriggerType.Effect;
import flintlead.port.TriggerType.Group;
import flintlead.time.Span;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a gateway is told before it starts: what is called, by whom, by what rules, and what the hosts can do. It holds
 * no decision; what is made of it stands in {@code flintlead.Control}.
 *
 * @param index the gateway's own number, from 0
 * @param gateways how many there are; cold hosts and shares are divided by it
 * @param functions what copies of single functions take; others take what their trigger type says
 */
public record Terms(String gateway, int index, int gateways, int zone, List<Trigger> triggerTypes,
                    List<Customer> customers, Map<String, Footprint> functions, Rules rules, Hosts hosts) {

    /** Deciding goes by events here; this stands in for the bench's batches where a margin is reckoned in them. */
    private static final Span TICK = Span.ofMillis(4);
    private static final Span RETRY_MOST = Span.ofMillis(5_000);

    /** A trigger type: what is wanted of it, and what a repeat of it does. */
    public record Trigger(String name, Span latencyObjective, Span clientTimeout, double billedValue, Effect effect,
                          Group group, Span window, Footprint footprint) {
    }

    /** A customer and its share: invocations a second, over all gateways. */
    public record Customer(String name, double perSecond) {
    }

    /** A loaded copy: its memory, the invocations it runs at a time, and the time that a load takes. */
    public record Footprint(double memoryMb, double lanes, Span loadTime) {
    }

    /** The figures of the five rules. */
    public record Rules(Span answerSlack, Span drainGrace, double coldFrom, Span warmAfter, double fallMultiple,
                        Span overloadFor, Span loadsWithin, double freeLoads, double loadShare) {

        public static final Rules USUAL = new Rules(Span.ofMillis(50), Span.ofMillis(1000), 0.25,
            Span.ofMillis(17_000), 2.5, Span.ofMillis(3000), Span.ofMillis(5000), 2, 0.3);
    }

    /** What hosts do and tell. */
    public record Hosts(int dispatchCap, boolean secondCopies, boolean loadsWhenAbsent, boolean orders,
                        boolean tellsWarm, boolean tellsCrowd, Span idleLife, Span loadWait,
                        List<String> reportNames) {

        public static final Hosts USUAL = new Hosts(4, false, true, true, true, true, Span.ofMillis(9_000),
            Span.ofMillis(10_000), List.of("waiting"));
    }

    /** @throws IllegalArgumentException when two things have one name, or there is no trigger type */
    public Terms {
        triggerTypes = List.copyOf(triggerTypes);
        customers = List.copyOf(customers);
        functions = Map.copyOf(functions);
        if (triggerTypes.isEmpty()) {
            throw new IllegalArgumentException("there must be at least one trigger type");
        }
        if (gateways < 1 || index < 0 || index >= gateways) {
            throw new IllegalArgumentException("index " + index + " must lie from 0 to below gateways " + gateways);
        }
        Set<String> names = new HashSet<>();
        for (Trigger trigger : triggerTypes) {
            if (!names.add(trigger.name())) {
                throw new IllegalArgumentException("trigger type '" + trigger.name() + "' stands twice");
            }
        }
        names.clear();
        for (Customer customer : customers) {
            if (!names.add(customer.name())) {
                throw new IllegalArgumentException("customer '" + customer.name() + "' stands twice");
            }
        }
    }

    /** Terms with a trigger type of each kind, for demonstration and tests. */
    public static Terms usual(String gateway) {
        Footprint footprint = new Footprint(200, 2, Span.ofMillis(250));
        return new Terms(gateway, 0, 1, 0, List.of(
            new Trigger("check", Span.ofMillis(750), Span.ofMillis(3_000), 3, Effect.IDEMPOTENT, Group.ALL,
                Span.ZERO, footprint),
            new Trigger("lodge", Span.ofMillis(1_200), Span.ofMillis(3_000), 9, Effect.TOKENED, Group.CELL,
                Span.ofMillis(2_000), footprint),
            new Trigger("apply", Span.ofMillis(1_200), Span.ofMillis(3_000), 6, Effect.NON_IDEMPOTENT, Group.ALL,
                Span.ZERO, footprint)),
            List.of(), Map.of(), Rules.USUAL, Hosts.USUAL);
    }

    /** The same terms for another gateway of the same installation. */
    public Terms as(String gateway, int index, int gateways) {
        return new Terms(gateway, index, gateways, zone, triggerTypes, customers, functions, rules, hosts);
    }

    int triggerType(String name) {
        for (int i = 0; i < triggerTypes.size(); i++) {
            if (triggerTypes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    int customer(String name) {
        for (int i = 0; i < customers.size(); i++) {
            if (customers.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    Footprint footprint(String function, Trigger trigger) {
        return functions.isEmpty() ? trigger.footprint() : functions.getOrDefault(function, trigger.footprint());
    }

    Deployment deployment(boolean peers) {
        List<TriggerType> types = triggerTypes.stream().map(each -> new TriggerType(each.latencyObjective(),
            each.billedValue(), each.effect(), each.group(), each.window(), false)).toList();
        return new Deployment(index, gateways, zone, TICK, false, types,
            customers.stream().map(Customer::perSecond).toList(), rules.answerSlack(), Span.ZERO, rules.coldFrom(),
            rules.warmAfter(), rules.fallMultiple(), rules.overloadFor(), hosts.dispatchCap(), true,
            hosts.secondCopies(), true, peers, true, RETRY_MOST, hosts.loadsWhenAbsent(), hosts.orders(),
            hosts.tellsWarm(), hosts.tellsCrowd(), hosts.idleLife(), hosts.loadWait(), rules.loadsWithin(),
            rules.freeLoads(), rules.loadShare(), hosts.reportNames());
    }
}
