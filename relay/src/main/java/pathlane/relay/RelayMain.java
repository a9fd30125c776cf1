package pathlane.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Starts a source or a relay: {@code java -jar pathlane-relay.jar FILE}. It shuts down gracefully on SIGTERM and
 * SIGINT. On SIGHUP it reloads its keys, and a source also the files of its content.
 */
@Command(name = "pathlane-relay", mixinStandardHelpOptions = true,
        description = "Publishes services to relays and call controllers; the file's role says whether as source or relay.")
public final class RelayMain implements Callable<Integer> {

    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";
    /** {@code date time LEVEL logger: text}, the same format as the daemon's log. */
    private static final String LOG_LINE = "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";
    private static final int EXIT_INVALID_FILE = 1;

    @Parameters(index = "0", paramLabel = "FILE",
            description = "configuration file, such as deploy/source.toml or deploy/relay.toml")
    private Path file;

    /** Runs until the process is asked to end; with an invalid file it prints one sentence and exits with status 1. */
    public static void main(String[] args) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, LOG_LINE);
        }
        System.exit(new CommandLine(new RelayMain()).setExecutionExceptionHandler((e, line, parsed) -> {
            if (!(e instanceof IllegalArgumentException)) {
                throw e;
            }
            System.err.println("pathlane: " + e.getMessage());
            return EXIT_INVALID_FILE;
        }).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        PublisherProgram program = new PublisherProgram(ProgramFile.read(file));
        CountDownLatch terminated = new CountDownLatch(1);
        // Not a shutdown hook: the log closes concurrently with shutdown hooks, so the last log lines would be lost.
        SignalHandler terminate = signal -> program.shutDown(terminated::countDown);
        Signal.handle(new Signal("TERM"), terminate);
        Signal.handle(new Signal("INT"), terminate);
        SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> program.reload());
        program.start();
        if (previousHandler == SignalHandler.SIG_IGN) {
            logger().log(Level.WARNING,
                    "SIGHUP was ignored when the program was started: it does not reload the files here");
        }
        terminated.await();
        return 0;
    }

    /** Created only after the log format has been set. */
    private static Logger logger() {
        return System.getLogger("relay");
    }
}
