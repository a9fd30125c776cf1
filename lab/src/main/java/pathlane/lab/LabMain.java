package pathlane.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import pathlane.lab.capacity.CapacityCommand;
import pathlane.lab.capacity.measure.MeasureCommand;
import pathlane.lab.rig.ProcessTakeover;
import pathlane.lab.rig.Scenario;
import pathlane.lab.rig.ScenarioRun;
import pathlane.lab.scale.ScaleCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of the test bed: {@code java -jar lab/target/pathlane-lab.jar run SCENARIO}, from the project's root. */
@Command(name = "lab", description = "Runs groups of call controllers with faults injected between their parts.",
        subcommands = {LabMain.Run.class, LabMain.Takeover.class, MeasureCommand.class, CapacityCommand.class,
                ScaleCommand.class},
        mixinStandardHelpOptions = true)
public final class LabMain implements Runnable {

    /** Runs a command and exits with its status: 0 all rules kept, 1 a rule broken, 2 invalid command. */
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

    /** Runs one scenario with real processes. */
    @Command(name = "run", description = "Runs a scenario with real processes and reports whether all rules were kept.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        @Parameters(index = "0", paramLabel = "SCENARIO", description = "the scenario file, as in lab/scenarios")
        private Path file;

        @Option(names = "--seed", defaultValue = "1", description = "for call ids and random draws; ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--home", defaultValue = ".", description = "root of the built project; ${DEFAULT-VALUE}")
        private Path projectRoot;

        @Option(names = "--keep", description = "an empty folder to keep files and logs in; otherwise a temporary one")
        private Path keptFolder;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scenario scenario = Scenario.read(file);
            Path folder =
                    keptFolder == null ? Files.createTempDirectory("pathlane-lab") : Files.createDirectories(keptFolder);
            Optional<String> violation = ScenarioRun.run(scenario, projectRoot, folder, seed);
            System.out.println(scenario.title() + ", seed " + seed + ": " + (violation.isEmpty() ? "kept" : "BROKEN"));
            violation.ifPresent(System.out::println);
            if (keptFolder == null && violation.isEmpty()) {
                Folders.delete(folder);
            } else {
                System.out.println("logs are in " + folder);
            }
            return violation.isEmpty() ? 0 : 1;
        }
    }

    /** Prints takeover measurements. */
    @Command(name = "takeover", description = "Measures takeover; docs/measurements/takeover.md describes the output.",
            mixinStandardHelpOptions = true)
    static final class Takeover implements Runnable {

        @Option(names = "--home", defaultValue = ".", description = "root of the built project; ${DEFAULT-VALUE}")
        private Path projectRoot;

        @Option(names = "--runs", defaultValue = "10", description = "number of runs; ${DEFAULT-VALUE}")
        private int runs;

        @Override
        public void run() {
            CommandLine.usage(this, System.out);
        }

        @Command(description = "Time from killing a controller until the last of its calls is adopted.")
        void owned(@Option(names = "--controllers", defaultValue = "3") int controllers,
                @Option(names = "--calls", defaultValue = "1000") int calls,
                @Option(names = "--virtual", description = "in virtual time, on one thread") boolean virtual)
                throws IOException, InterruptedException {
            Histogram times = virtual ? VirtualTakeover.measureAdoption(controllers, calls, runs)
                    : new ProcessTakeover(projectRoot).measureAdoption(controllers, calls, runs);
            System.out.printf("%d controllers, %d calls, %d runs%s: median %d ms, p99 %d ms, most %d ms%n",
                    controllers, calls, runs, virtual ? " in virtual time" : "",
                    times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getMaxValue());
        }

        @Command(description = "Seven of ten controllers die: how many calls end correctly, with takeover and "
                + "without.")
        void herd(@Option(names = "--calls", defaultValue = "100") int calls) throws IOException, InterruptedException {
            for (int run = 1; run <= runs; run++) {
                System.out.println("with    " + new ProcessTakeover(projectRoot).measureMassFailure(calls, true, run));
                System.out.println("without " + new ProcessTakeover(projectRoot).measureMassFailure(calls, false, run));
            }
        }

        @Command(description = "Cost of a call at its controller, alternately with and without a group.")
        void owner(@Option(names = "--calls", defaultValue = "20000") int calls,
                @Option(names = "--each-second", defaultValue = "1000") int eachSecond)
                throws IOException, InterruptedException {
            for (int run = 1; run <= runs; run++) {
                for (boolean grouped : new boolean[] {true, false}) {
                    ProcessTakeover.Cost cost =
                            new ProcessTakeover(projectRoot).measureOwnerCost(calls, eachSecond, grouped, run);
                    System.out.printf("%s %.1f us of processor time and %.0f bytes to others a call; answers p50 %d us, "
                            + "p99 %d us%n", grouped ? "with   " : "without", cost.cpuMicros(), cost.bytes(),
                            cost.answers().getValueAtPercentile(50), cost.answers().getValueAtPercentile(99));
                }
            }
        }

        @Command(description = "Bytes that idle controllers send, in virtual time.")
        void idle(@Option(names = "--controllers", defaultValue = "120") int controllers) {
            System.out.println("bytes a second of all, to voters, from voters and among members: "
                    + VirtualTakeover.measureIdleTraffic(controllers, 60));
        }
    }
}
