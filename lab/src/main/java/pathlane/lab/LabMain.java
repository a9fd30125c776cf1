package pathlane.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import pathlane.lab.capacity.measure.MeasureCommand;
import pathlane.lab.rig.ProcessTakeover;
import pathlane.lab.rig.Scenario;
import pathlane.lab.rig.ScenarioRun;
import pathlane.lab.scale.ScaleCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The lab by hand: {@code java -jar lab/target/pathlane-lab.jar run SCENARIO}, from the project's root. */
@Command(name = "lab", description = "Plays groups of call controllers with faults between their parts.",
        subcommands = {LabMain.Run.class, LabMain.Takeover.class, MeasureCommand.class, ScaleCommand.class},
        mixinStandardHelpOptions = true)
public final class LabMain implements Runnable {

    /** Runs a command and ends with its status: 0 kept, 1 broken, 2 for a command that can't be used. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new LabMain()).setExecutionExceptionHandler((e, line, parsed) -> {
            line.getErr().println("lab: " + e.getMessage());
            return 2;
        }).execute(args));
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    /** Plays one scenario with real processes. */
    @Command(name = "run", description = "Plays a scenario with real processes and says whether all rules were kept.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        @Parameters(index = "0", paramLabel = "SCENARIO", description = "its file, as in lab/scenarios")
        private Path file;

        @Option(names = "--seed", defaultValue = "1", description = "for the calls' ids and the draws; ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--home", defaultValue = ".", description = "where the project was built; ${DEFAULT-VALUE}")
        private Path home;

        @Option(names = "--keep", description = "an empty folder that keeps files and logs; else a temporary one")
        private Path keep;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scenario scenario = Scenario.read(file);
            Path folder = keep == null ? Files.createTempDirectory("pathlane-lab") : Files.createDirectories(keep);
            Optional<String> broken = ScenarioRun.play(scenario, home, folder, seed);
            System.out.println(scenario.title() + ", seed " + seed + ": " + (broken.isEmpty() ? "kept" : "BROKEN"));
            broken.ifPresent(System.out::println);
            if (keep == null && broken.isEmpty()) {
                Folders.delete(folder);
            } else {
                System.out.println("logs are in " + folder);
            }
            return broken.isEmpty() ? 0 : 1;
        }
    }

    /** Prints figures of takeover. */
    @Command(name = "takeover", description = "Measures takeover; docs/measurements/takeover.md has what each prints.",
            mixinStandardHelpOptions = true)
    static final class Takeover implements Runnable {

        @Option(names = "--home", defaultValue = ".", description = "where the project was built; ${DEFAULT-VALUE}")
        private Path home;

        @Option(names = "--runs", defaultValue = "10", description = "how often; ${DEFAULT-VALUE}")
        private int runs;

        @Override
        public void run() {
            CommandLine.usage(this, System.out);
        }

        @Command(description = "From a kill to the last call owned again.")
        void owned(@Option(names = "--controllers", defaultValue = "3") int controllers,
                   @Option(names = "--calls", defaultValue = "1000") int calls,
                   @Option(names = "--virtual", description = "in virtual time, in one thread") boolean virtual)
                throws IOException, InterruptedException {
            Histogram times = virtual ? VirtualTakeover.owned(controllers, calls, runs)
                    : new ProcessTakeover(home).owned(controllers, calls, runs);
            System.out.printf("%d controllers, %d calls, %d runs%s: median %d ms, p99 %d ms, most %d ms%n",
                    controllers, calls, runs, virtual ? " in virtual time" : "",
                    times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getMaxValue());
        }

        @Command(description = "Seven of ten controllers die: how many calls come to their right end, with takeover and "
                + "without.")
        void herd(@Option(names = "--calls", defaultValue = "100") int calls) throws IOException, InterruptedException {
            for (int run = 1; run <= runs; run++) {
                System.out.println("with    " + new ProcessTakeover(home).herd(calls, true, run));
                System.out.println("without " + new ProcessTakeover(home).herd(calls, false, run));
            }
        }

        @Command(description = "What a call costs its controller, with a group and without, in turn.")
        void owner(@Option(names = "--calls", defaultValue = "20000") int calls,
                   @Option(names = "--each-second", defaultValue = "1000") int eachSecond)
                throws IOException, InterruptedException {
            for (int run = 1; run <= runs; run++) {
                for (boolean grouped : new boolean[] {true, false}) {
                    ProcessTakeover.Cost cost = new ProcessTakeover(home).owner(calls, eachSecond, grouped, run);
                    System.out.printf("%s %.1f us of processor time and %.0f bytes to others a call; answers p50 %d us, "
                            + "p99 %d us%n", grouped ? "with   " : "without", cost.cpuMicros(), cost.bytes(),
                            cost.answers().getValueAtPercentile(50), cost.answers().getValueAtPercentile(99));
                }
            }
        }

        @Command(description = "What idle controllers say, in virtual time.")
        void idle(@Option(names = "--controllers", defaultValue = "120") int controllers) {
            System.out.println("bytes a second of all, to voters, from voters and among members: "
                    + VirtualTakeover.idle(controllers, 60));
        }
    }
}
