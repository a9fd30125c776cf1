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

/** The program in a process of its own, from the classes under test; its log is read line by line. */
final class Program implements AutoCloseable {

    private static final long MOST_WAIT_S = 30;
    private static final String SERVES = "serves on /";

    private final Process process;
    private final BufferedReader log;
    private final List<String> said = new ArrayList<>();
    private InetSocketAddress address;

    /** Starts it and waits until it serves. */
    Program(Path folder, String config) throws IOException {
        this(folder, config, "exec ");
        awaitServes();
    }

    /** Waits until it serves. */
    void awaitServes() throws IOException {
        String line = awaitLine(SERVES);
        address = Addresses.parse(line.substring(line.indexOf(SERVES) + SERVES.length()));
    }

    /** Starts it with an operator's file of discovery, and waits until it serves. */
    static Program discovering(Path folder, String config, Path discovery) throws IOException {
        Program program = new Program(folder, config, "exec ", "--discovery", discovery.toString());
        program.awaitServes();
        return program;
    }

    private Program(Path folder, String config, String before, String... options) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of("sh", "-c", before + "\"$0\" \"$@\"", java, "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true", "-cp",
                System.getProperty("java.class.path"), "pathlane.Main", "serve"));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", file.toString());
        process = builder.start();
        log = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Starts it and waits for nothing. */
    static Program begun(Path folder, String config) throws IOException {
        return new Program(folder, config, "exec ");
    }

    /** Starts it with so many descriptors, and waits until it serves. */
    static Program within(int descriptors, Path folder, String config) throws IOException {
        Program program = new Program(folder, config, "ulimit -n " + descriptors + "; exec ");
        program.awaitServes();
        return program;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Reads the log on to a line with these words. */
    String awaitLine(String words) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            said.add(line);
            if (line.contains(words)) {
                return line;
            }
        }
        throw new AssertionError("the program never said '" + words + "' but " + String.join("\n", said));
    }

    void signal(String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** How it ended. */
    int awaitEnd() throws IOException, InterruptedException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            said.add(line);
        }
        assertTrue(process.waitFor(MOST_WAIT_S, TimeUnit.SECONDS), "it did not end");
        return process.exitValue();
    }

    List<String> said() {
        return said;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
