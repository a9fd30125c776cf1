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
 * Starts a source or a relay: {@code java -jar pathlane-relay.jar FILE}. It ends in order at SIGTERM and SIGINT, and reads
 * its keys, and a source its content's files, again at SIGHUP.
 */
@Command(name = "pathlane-relay", mixinStandardHelpOptions = true,
        description = "Publishes services to relays and call controllers; the file's role says whether as source or relay.")
public final class RelayMain implements Callable<Integer> {

    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";
    /** {@code date time LEVEL part: text}, as the daemon's log. */
    private static final String LOG_LINE = "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";
    private static final int UNUSABLE = 1;

    @Parameters(index = "0", paramLabel = "FILE", description = "its file, as deploy/source.toml or deploy/relay.toml")
    private Path file;

    /** Runs until the process is asked to end; a file that can't be used ends it with one sentence and status 1. */
    public static void main(String[] args) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, LOG_LINE);
        }
        System.exit(new CommandLine(new RelayMain()).setExecutionExceptionHandler((e, line, parsed) -> {
            if (!(e instanceof IllegalArgumentException)) {
                throw e;
            }
            System.err.println("pathlane: " + e.getMessage());
            return UNUSABLE;
        }).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        PublisherProgram program = new PublisherProgram(ProgramFile.read(file));
        CountDownLatch ended = new CountDownLatch(1);
        // Taken here and not by a shutdown hook: the log would close beside the hook, and the last lines would be lost.
        SignalHandler end = signal -> program.end(ended::countDown);
        Signal.handle(new Signal("TERM"), end);
        Signal.handle(new Signal("INT"), end);
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> program.reload());
        program.start();
        if (before == SignalHandler.SIG_IGN) {
            logger().log(Level.WARNING, "SIGHUP was ignored when the program was started: it asks for no reload here");
        }
        ended.await();
        return 0;
    }

    /** Asked for once the format of the log is set. */
    private static Logger logger() {
        return System.getLogger("relay");
    }
}
