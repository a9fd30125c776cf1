package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab measure}: measures costs by size and appends them to {@code docs/measurements/capacity}. */
@Command(name = "measure", description = "Measures cost against size and appends the figures to CSV files.",
        mixinStandardHelpOptions = true)
public final class MeasureCommand implements Runnable {

    @Option(names = "--home", defaultValue = ".", description = "root of the built project; ${DEFAULT-VALUE}")
    private Path home;

    @Option(names = "--into", defaultValue = "docs/measurements/capacity", description = "output folder; ${DEFAULT-VALUE}")
    private Path folder;

    @Option(names = "--repetitions", defaultValue = "3", description = "number of repetitions; ${DEFAULT-VALUE}")
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

    private EstablishedCallCost establishedCallCost() {
        return new EstablishedCallCost(home, recorder(), repetitions);
    }

    @Command(description = "Time and allocation of a decision, by listed servers; the module alone, one thread.")
    void decisions() {
        DecisionCost.measure(recorder(), repetitions);
    }

    @Command(description = "Time of an event and of a complete list, and memory, by listed servers; no sockets, one thread.")
    void lists() {
        ListCost.measure(recorder(), repetitions);
    }

    @Command(description = "Cost of a start of the program, by listed servers.")
    void start() throws IOException, InterruptedException {
        processes().start();
    }

    @Command(description = "Cost of an idle second of the program, by listed servers.")
    void idle() throws IOException, InterruptedException {
        processes().idleByListed();
    }

    @Command(description = "Cost of servers' capacity reports, by connections to servers.")
    void reports() throws IOException, InterruptedException {
        processes().idleByConnections();
    }

    @Command(description = "Cost of events of the bus, by their rate and by listed servers.")
    void discovery() throws IOException, InterruptedException {
        processes().discovery();
    }

    @Command(description = "Cost of established calls and of clients' connections.")
    void standing() throws IOException, InterruptedException {
        establishedCallCost().byEstablishedCalls();
        establishedCallCost().byConnections();
    }

    @Command(description = "The latency that the program adds to a call, by listed servers.")
    void latency(
            @Option(names = "--rate", defaultValue = "400", description = "calls per second; ${DEFAULT-VALUE}") int rate)
            throws IOException, InterruptedException {
        new AddedLatency(home, recorder(), repetitions).measure(rate);
    }

    @Command(description = "Cost of the group's lease registry for a member and a voter, by members.")
    void register() throws IOException, InterruptedException {
        RegistryCost.measure(home, recorder(), repetitions);
    }

    @Command(description = "All measurements in sequence.")
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
