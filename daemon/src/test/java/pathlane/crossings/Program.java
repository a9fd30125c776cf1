package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pathlane.transport.Addresses;

/** Runs the program in a separate process from the classes under test and reads its log line by line. */
final class Program implements AutoCloseable {

    private static final long TIMEOUT_S = 30;
    private static final String SERVES_PREFIX = "serves on /";

    private final Process process;
    private final BufferedReader log;
    private final List<String> logLines = new ArrayList<>();
    private InetSocketAddress address;

    /** Starts the program and waits until it serves. */
    Program(Path folder, String config) throws IOException {
        this(folder, config, "exec ");
        awaitServes();
    }

    /** Waits until it serves. */
    void awaitServes() throws IOException {
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
        List<String> command = new ArrayList<>(List.of("sh", "-c", shellPrefix + "\"$0\" \"$@\"", java, "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true", "-cp",
                System.getProperty("java.class.path"), "pathlane.Main", "serve"));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", file.toString());
        process = builder.start();
        log = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
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

    /** Reads the log up to the next line that contains this text. */
    String awaitLine(String text) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            logLines.add(line);
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("no log line contains '" + text + "'; log: " + String.join("\n", logLines));
    }

    void signal(String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** Waits for the process to exit and returns its exit status. */
    int awaitEnd() throws IOException, InterruptedException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            logLines.add(line);
        }
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
