package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import pathlane.transport.Addresses;

/** Runs the program in a separate process from the classes under test and reads its log line by line. */
final class Program implements AutoCloseable {

    private static final long TIMEOUT_S = 30;
    private static final String SERVES_PREFIX = "serves on /";

    private final Process process;
    /** The lines that were not awaited yet; an empty value follows the last one. */
    private final BlockingQueue<Optional<String>> unreadLines = new LinkedBlockingQueue<>();
    private final List<String> logLines = new ArrayList<>();
    private InetSocketAddress address;

    /** Starts the program and waits until it serves. */
    Program(Path folder, String config) throws IOException {
        this(folder, config, "exec ");
        awaitServes();
    }

    /** Waits until it serves. */
    void awaitServes() {
        String line = awaitLine(SERVES_PREFIX);
        address = Addresses.parse(line.substring(line.indexOf(SERVES_PREFIX) + SERVES_PREFIX.length()));
    }

    /** Starts the program with a discovery file and waits until it serves. */
    static Program withDiscovery(Path folder, String config, Path discovery) throws IOException {
        Program program = new Program(folder, config, "exec ", "--discovery", discovery.toString());
        program.awaitServes();
        return program;
    }

    private Program(Path folder, String config, String shellPrefix, String... options) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // Under nohup, SIGHUP is ignored in this process, and the program would inherit that.
        List<String> command = new ArrayList<>(List.of("sh", "-c",
                shellPrefix + "env --default-signal=HUP \"$0\" \"$@\"", java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true", "-cp",
                System.getProperty("java.class.path"), "pathlane.Main", "serve"));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", file.toString());
        process = builder.start();
        Thread reader = new Thread(this::readLog, "log of the program under test");
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
            log.lines().map(Optional::of).forEach(unreadLines::add);
        } catch (IOException | UncheckedIOException e) {
            unreadLines.add(Optional.of("the log can't be read: " + e));
        }
        unreadLines.add(Optional.empty());
    }

    /** Starts the program without waiting. */
    static Program startWithoutWaiting(Path folder, String config) throws IOException {
        return new Program(folder, config, "exec ");
    }

    /** Starts the program with this descriptor limit and waits until it serves. */
    static Program withDescriptors(int descriptors, Path folder, String config) throws IOException {
        Program program = new Program(folder, config, "ulimit -n " + descriptors + "; exec ");
        program.awaitServes();
        return program;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Reads the log up to the next line that contains this text; fails if it does not come in time. */
    String awaitLine(String text) {
        return awaitLine("a log line with '" + text + "'", line -> line.contains(text))
                .orElseThrow(() -> new AssertionError("no log line contains '" + text + "'; log: " + joinedLog()));
    }

    /** Returns the next line that fulfils the condition, or nothing if the log has ended before. */
    private Optional<String> awaitLine(String awaited, Predicate<String> condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        for (Optional<String> line = nextLine(awaited, deadline); line.isPresent(); line = nextLine(awaited, deadline)) {
            logLines.add(line.get());
            if (condition.test(line.get())) {
                return line;
            }
        }
        return Optional.empty();
    }

    private Optional<String> nextLine(String awaited, long deadline) {
        try {
            Optional<String> line = unreadLines.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (line != null) {
                return line;
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        throw new AssertionError("waited " + TIMEOUT_S + " s for " + awaited + "; log: " + joinedLog());
    }

    private String joinedLog() {
        return String.join("\n", logLines);
    }

    void signal(String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** Waits for the process to exit and returns its exit status. */
    int awaitEnd() throws InterruptedException {
        awaitLine("the end of the log", line -> false);
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process did not exit");
        return process.exitValue();
    }

    List<String> logLines() {
        return logLines;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
