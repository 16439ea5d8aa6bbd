package flintlead.cli;

import flintlead.day.Plan;
import flintlead.lab.Lab;
import flintlead.lab.Network;
import flintlead.lab.Swarm;
import flintlead.time.Span;
import flintlead.yaml.Section;
import flintlead.yaml.YamlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Days in virtual time. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Days in virtual time: the same every time.",
    subcommands = {LabCommand.Replay.class, LabCommand.Search.class})
final class LabCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Commands.USAGE;
    }

    /** Plays a day's file. */
    @Command(name = "replay", mixinStandardHelpOptions = true, description = "Plays a day's file in virtual time; exit 3"
        + " where something went wrong.")
    static final class Replay implements Callable<Integer> {

        @Parameters(index = "0", description = "A day's file, or the name of a day.")
        private String file;

        @Option(names = "--seed", description = "Of everything left to chance.", defaultValue = "1")
        private long seed;

        @Option(names = "--json", description = "Print the result as JSON.")
        private boolean json;

        @Override
        public Integer call() throws IOException, YamlException {
            Plan plan = DayCommand.plan(file);
            long begun = System.nanoTime();
            Lab.Run run = Lab.run(plan, seed, Network.USUAL);
            double took = (System.nanoTime() - begun) / 1e9;
            if (run.result() != null) {
                DayCommand.print(run.result(), json);
            }
            System.err.printf("%d events, sum %08x, %.1f s for %.1f s (%.1f times as fast)%n", run.events(), run.sum(), took,
                plan.lasts().micros() / 1e6, plan.lasts().micros() / 1e6 / took);
            if (run.wrong() != null) {
                System.err.println("wrong: " + run.wrong());
            }
            return run.wrong() == null ? 0 : Commands.RULE_BROKE;
        }
    }

    /** Looks for days that go wrong. */
    @Command(name = "search", mixinStandardHelpOptions = true, description = "Plays days with troubles by chance on all cores"
        + " until one goes wrong, cuts that down and writes it to a file; exit 3 where one was found.")
    static final class Search implements Callable<Integer> {

        @Parameters(index = "0", arity = "0..1", description = "The day whose size and terms are taken.",
            defaultValue = "small")
        private String file;

        @Option(names = "--seed", description = "The first seed.", defaultValue = "1")
        private long seed;

        @Option(names = "--time", description = "How long to search.", defaultValue = "60s")
        private String time;

        @Option(names = "--out", description = "Where a day that is found is written.", defaultValue = "found.yaml")
        private Path out;

        @Override
        public Integer call() throws IOException, YamlException, InterruptedException {
            Span most = Section.span(time);
            if (most == null) {
                System.err.println("--time " + time + ": write a number with its unit, as 60s or 5m");
                return Commands.USAGE;
            }
            Swarm.Search search = new Swarm(DayCommand.plan(file), Network.USUAL).search(seed, Integer.MAX_VALUE, most,
                Runtime.getRuntime().availableProcessors());
            System.out.printf("%d days, %d events%n", search.days(), search.events());
            if (search.found() == null) {
                System.out.println("nothing went wrong");
                return 0;
            }
            Files.writeString(out, Swarm.file(search.found()));
            System.out.println("wrong with seed " + search.found().seed() + ": " + search.found().wrong());
            System.out.println("bin/flintlead lab replay " + out + " --seed " + search.found().seed());
            return Commands.RULE_BROKE;
        }
    }
}
