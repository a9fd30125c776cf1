package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab measure}: costs against size, appended to {@code docs/measurements/capacity}. */
@Command(name = "measure", description = "Measures cost against size and appends the figures to CSV files.",
        mixinStandardHelpOptions = true)
public final class MeasureCommand implements Runnable {

    @Option(names = "--home", defaultValue = ".", description = "where the project was built; ${DEFAULT-VALUE}")
    private Path home;

    @Option(names = "--into", defaultValue = "docs/measurements/capacity", description = "the folder; ${DEFAULT-VALUE}")
    private Path folder;

    @Option(names = "--repetitions", defaultValue = "3", description = "how often; ${DEFAULT-VALUE}")
    private int repetitions;

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    private Recorder recorder() {
        return new Recorder(home, folder);
    }

    private ProcessCost processes() {
        return new ProcessCost(home, recorder(), repetitions);
    }

    private StandingCost standingCost() {
        return new StandingCost(home, recorder(), repetitions);
    }

    @Command(description = "Time and allocation of a decision, by listed servers; the module alone, one thread.")
    void decisions() {
        DecisionCost.measure(recorder(), repetitions);
    }

    @Command(description = "Time of an event and of a whole list, and memory, by listed servers; no sockets, one thread.")
    void lists() {
        ListCost.measure(recorder(), repetitions);
    }

    @Command(description = "What a start costs the program, by listed servers.")
    void start() throws IOException, InterruptedException {
        processes().start();
    }

    @Command(description = "What an idle second costs the program, by listed servers.")
    void idle() throws IOException, InterruptedException {
        processes().idleByListed();
    }

    @Command(description = "What servers' capacity reports cost the program, by connections to servers.")
    void reports() throws IOException, InterruptedException {
        processes().idleByConnections();
    }

    @Command(description = "What events of the bus cost the program, by their rate and by listed servers.")
    void discovery() throws IOException, InterruptedException {
        processes().discovery();
    }

    @Command(description = "What standing calls and callers' connections cost the program.")
    void standing() throws IOException, InterruptedException {
        standingCost().byStandingCalls();
        standingCost().byConnections();
    }

    @Command(description = "The latency that the program adds to a call, by listed servers.")
    void latency(@Option(names = "--rate", defaultValue = "400", description = "calls a second; ${DEFAULT-VALUE}") int rate)
            throws IOException, InterruptedException {
        new AddedLatency(home, recorder(), repetitions).measure(rate);
    }

    @Command(description = "What the group's register costs a member and a voter, by members.")
    void register() throws IOException, InterruptedException {
        RegisterCost.measure(home, recorder(), repetitions);
    }

    @Command(description = "All of these, one after the other.")
    void all() throws IOException, InterruptedException {
        decisions();
        lists();
        start();
        idle();
        reports();
        discovery();
        standing();
        for (int rate : AddedLatency.RATES) {
            latency(rate);
        }
        register();
    }
}
