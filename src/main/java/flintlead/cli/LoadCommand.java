package flintlead.cli;

import flintlead.load.Bout;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** How much goes through, and at what cost in time. */
@Command(name = "load", mixinStandardHelpOptions = true,
    description = "Measures a gateway beside the bare hosts, in one run: the most that goes through, then times at half"
        + " of the gateway's most.")
final class LoadCommand implements Callable<Integer> {

    @Option(names = "--hosts", defaultValue = "16", description = "Hosts that answer at once.")
    private int hosts;

    @Option(names = "--connections", defaultValue = "8", description = "Client connections.")
    private int connections;

    @Option(names = "--out", defaultValue = "256", description = "Invocations out at a time when the most is sought.")
    private int out;

    @Option(names = "--size", defaultValue = "1024", description = "Bytes of a payload.")
    private int size;

    @Option(names = "--functions", defaultValue = "50", description = "Functions invoked.")
    private int functions;

    @Option(names = "--seconds", defaultValue = "5", description = "Length of each part.")
    private int seconds;

    @Option(names = "--rate", defaultValue = "0", description = "Invocations a second; 0 for half of the most.")
    private double rate;

    @Option(names = "--out-at-once", defaultValue = "0",
        description = "Also: so many invocations in flight at hosts that answer after a second.")
    private int atOnce;

    @Override
    public Integer call() throws Exception {
        return new Bout(hosts, connections, out, size, functions, seconds, rate, atOnce).run(System.out) ? 0
            : Commands.FAILED;
    }
}
