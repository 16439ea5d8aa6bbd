package flintlead.day;

import flintlead.arrivals.Traffic;
import flintlead.arrivals.Work;
import flintlead.gateway.Terms;
import flintlead.port.TriggerType.Effect;
import flintlead.registry.RegistryTerms;
import flintlead.standin.Make;
import flintlead.time.Span;
import flintlead.yaml.Faults;
import flintlead.yaml.Section;
import flintlead.yaml.TermsReader;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A day: how large, how busy, and what goes wrong when.
 *
 * @param perSecond invocations a second, over all clients
 * @param connections of clients to each gateway
 * @param tries that a client makes after its first
 * @param listLag how late the host list tells of a change
 * @param head the text of its file without name and troubles, so that it can be written again
 * @param registry how gateways follow the host list; null for a list that is pushed to them
 * @param machines the kinds of machines that the hosts are, with their shares; never empty
 * @param halls in which gateways and hosts stand; each has its own network
 * @param warmUp the beginning, which counts in no outcome
 * @param peers whether the gateways know of each other and learn after a start
 * @param ways the pools, and how they change
 * @param keeps whether each gateway keeps on its disk what it saw, for its next process; in virtual time
 * @param policy who decides in the gateways; "control" is the program itself
 */
public record Plan(String name, Span lasts, int gateways, int hosts, int zones, int cells, double perSecond,
                   int functions, int connections, int tries, Span listLag, Make make, int storeAtOnce, Terms terms,
                   List<Trouble> troubles, RegistryTerms.Protocol registry, String head, List<Machine> machines,
                   int halls, Network network, Traffic traffic, Work work, Span warmUp, String policy, boolean peers, Ways ways, boolean keeps) {

    /** A kind of machine. */
    public record Machine(String kind, double share, Make make) { }

    public static final String CONTROL = "control";

    /** Steps of this part of a whole fall evenly on it, however many there are. */
    private static final double GOLDEN = 0.6180339887498949;
    private static final Span NONE = Span.ZERO;
    private static final Span LONGEST = Span.ofMillis(3_600_000);

    /** The same day with other troubles. */
    public Plan with(List<Trouble> others) {
        return but(gateways, hosts, perSecond, others, policy);
    }

    /** The same day of another size. */
    public Plan sized(int gatewaysNow, int hostsNow, double perSecondNow) {
        return but(gatewaysNow, hostsNow, perSecondNow, troubles, policy);
    }

    /** The same day with another's decisions. */
    public Plan decidedBy(String other) {
        return but(gateways, hosts, perSecond, troubles, other);
    }

    private Plan but(int gatewaysNow, int hostsNow, double perSecondNow, List<Trouble> troublesNow, String policyNow) {
        return new Plan(name, lasts, gatewaysNow, hostsNow, zones, cells, perSecondNow, functions, connections, tries, listLag, make,
            storeAtOnce, terms, List.copyOf(troublesNow), registry, head, machines, halls, network, traffic, work, warmUp, policyNow, peers,
            ways, keeps);
    }

    /** The machine that the host of that number is: kinds are spread evenly over the numbers, by their shares. */
    public Make machine(int host) {
        double all = machines.stream().mapToDouble(Machine::share).sum();
        double at = host * GOLDEN % 1 * all;
        for (Machine each : machines) {
            at -= each.share();
            if (at < 0) {
                return each.make();
            }
        }
        return machines.get(machines.size() - 1).make();
    }

    public static Plan read(Path file) throws IOException, YamlException {
        Faults faults = new Faults(file.toString());
        String text = Files.readString(file);
        return read(Section.read(text, faults), faults, text);
    }

    public static Plan parse(String name, String text) throws YamlException {
        Faults faults = new Faults(name);
        return read(Section.read(text, faults), faults, text);
    }

    /** The lines of a file but those of its name and its troubles. */
    private static String head(String text) {
        StringBuilder head = new StringBuilder();
        boolean troubles = false;
        for (String line : text.lines().toList()) {
            boolean top = !line.startsWith(" ") && !line.startsWith("#") && !line.isBlank();
            troubles = top ? line.startsWith("troubles:") : troubles;
            boolean left = troubles || line.startsWith("name:") || line.startsWith("#") || line.startsWith("repeat:")
                || line.startsWith("every:");
            if (!left) {
                head.append(line).append('\n');
            }
        }
        return head.toString();
    }

    private static Plan read(Section top, Faults faults, String text) throws YamlException {
        Terms terms = top.has("triggerTypes") ? TermsReader.read(top, "gw", faults) : usualTerms(top);
        Section host = top.section("host");
        Set<String> tokened = terms.triggerTypes().stream().filter(each -> each.effect() == Effect.TOKENED)
            .map(Terms.Trigger::name).collect(Collectors.toSet());
        Make make = new Make(host.whole("cores", 4, 1, 1_000), host.number("speed", 1, 0.01, 100),
            host.number("memoryMb", 4_000, 1, 1e9), host.whole("queue", 64, 1, 100_000),
            host.whole("loadsAtOnce", 4, 1, 1_000), terms.hosts().loadsWhenAbsent(), host.flag("addsCopies", true),
            host.span("idleLife", Span.ofMillis(10_000), new Span(1), LONGEST), terms.rules().coldFrom(),
            terms.rules().warmAfter(), terms.rules().fallMultiple(), terms.rules().overloadFor(), tokened,
            host.number("workMs", 20, 0.01, 1e6));
        host.end();
        List<Machine> machines = new ArrayList<>();
        for (Section each : top.list("machines")) {
            machines.add(new Machine(each.text("kind", "kind-" + machines.size()), each.number("share", 1, 0.001, 1_000),
                make.machine(each.whole("cores", make.cores(), 1, 1_000), each.number("speed", make.speed(), 0.01, 100),
                    each.number("memoryMb", make.memoryMb(), 1, 1e9), each.whole("queue", make.queue(), 1, 100_000),
                    each.whole("loadsAtOnce", make.loadsAtOnce(), 1, 1_000))));
            each.end();
        }
        if (machines.isEmpty()) {
            machines.add(new Machine("usual", 1, make));
        }
        List<Trouble> troubles = new ArrayList<>();
        for (Section each : top.list("troubles")) {
            troubles.add(new Trouble(each.oneOf("kind", Trouble.Kind.BURST), each.span("at", NONE, NONE, LONGEST),
                each.span("for", Span.ofMillis(2_000), NONE, LONGEST), each.number("part", 0.25, 0, 1),
                each.number("size", 2, 0, 1_000), each.span("length", Span.ofMillis(200), NONE, LONGEST)));
            each.end();
        }
        int times = top.whole("repeat", 1, 1, 1_000);
        Span every = top.span("every", NONE, NONE, LONGEST);
        List<Trouble> once = List.copyOf(troubles);
        for (int i = 1; i < times; i++) {
            for (Trouble each : once) {
                troubles.add(new Trouble(each.kind(), each.at().plus(every.times(i)), each.lasts(), each.part(),
                    each.size(), each.length()));
            }
        }
        Plan plan = new Plan(top.text("name", "day"), top.span("lasts", Span.ofMillis(10_000), NONE, LONGEST),
            top.whole("gateways", 2, 1, 1_000), top.whole("hosts", 8, 1, 1_000), top.whole("zones", 2, 1, 16),
            top.whole("cells", 2, 1, 16), top.number("perSecond", 150, 0.1, 100_000),
            top.whole("functions", 24, 1, 100_000), top.whole("connections", 4, 1, 256), top.whole("tries", 1, 0, 10),
            top.span("listLag", Span.ofMillis(200), NONE, LONGEST), make, top.whole("storeAtOnce", 6, 1, 10_000),
            terms, troubles, top.has("registry") ? top.oneOf("registry", RegistryTerms.Protocol.ETCD) : null, head(text),
            List.copyOf(machines), top.whole("halls", 1, 1, 16), Network.read(top.section("network")),
            Traffic.read(top.section("arrivals")), Work.read(top.section("work"), make.usualWork()),
            top.span("warmUp", NONE, NONE, LONGEST), top.text("policy", CONTROL), top.flag("peers", false), Ways.read(top),
            top.flag("keeps", false));
        top.end();
        faults.throwIfAny();
        return plan;
    }

    /** The usual terms, with the hosts' ways and the rules as far as the file names them. */
    private static Terms usualTerms(Section top) {
        Terms usual = Terms.usual("gw");
        return new Terms("gw", 0, 1, 0, usual.triggerTypes(), usual.customers(), usual.functions(),
            TermsReader.rules(top.section("rules")), TermsReader.hosts(top.section("workers")));
    }
}
