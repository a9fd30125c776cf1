package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;

/**
 * Runs a call controller of the built jar as a separate process, started by the command in {@code deploy/balancer.toml}, and
 * reads its processor time and memory from the system and the JVM. Only this process is ended.
 */
final class ControllerProcess implements AutoCloseable {

    private static final String READY = "serves on";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int EXIT_TIMEOUT_SECONDS = 5;
    private static final int KIB = 1024;
    /** The serial collector reclaims all dead objects only at each fourth full collection. */
    private static final String COLLECT_AND_REPORT_HEAP = "GC.run\n".repeat(4) + "GC.heap_info\n";
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern USED = Pattern.compile("(?:def new generation|tenured generation).*?used (\\d+)K");

    private final Process process;
    private final Path log;

    private ControllerProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a controller and waits until it is ready.
     *
     * @param home root of the built project
     * @param config the text of its configuration
     * @param folder folder for its configuration and its log
     */
    static ControllerProcess start(Path home, String config, Path folder) throws InterruptedException {
        Path log = folder.resolve("controller.log");
        try {
            Path file = Files.writeString(folder.resolve("controller.json"), config);
            Files.deleteIfExists(log);
            ProcessBuilder builder = new ProcessBuilder(command(home)).directory(home.toFile()).redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("RELAY_CONFIG", file.toAbsolutePath().toString());
            ControllerProcess controller = new ControllerProcess(builder.start(), log);
            controller.awaitReady();
            return controller;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the part of {@code run} from the JVM on; the part before it belongs to the shell. */
    private static List<String> command(Path home) throws IOException {
        String run = Toml.parse(home.resolve("deploy/balancer.toml")).getString("run");
        return Arrays.asList(run.substring(run.indexOf("java ")).split(" "));
    }

    private void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!Files.readString(log).contains(READY)) {
            if (!process.isAlive() || System.nanoTime() > until) {
                close();
                throw new IllegalStateException("the controller did not become ready: " + lastLines());
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private String lastLines() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
    }

    /** Processor time used so far. */
    ProcessorTime processorTime() {
        return ProcessorTime.of(process.pid());
    }

    /** Resident memory. */
    long residentBytes() {
        return KIB * number(RESIDENT.matcher(read(Path.of("/proc", Long.toString(process.pid()), "status"))));
    }

    /** Returns the used Java heap after full collections, which this method requests. */
    long liveHeapBytes() throws InterruptedException {
        Matcher used = USED.matcher(jcmd(COLLECT_AND_REPORT_HEAP));
        return KIB * (number(used) + number(used));
    }

    private static long number(Matcher matcher) {
        if (!matcher.find()) {
            throw new IllegalStateException("no match for " + matcher.pattern());
        }
        return Long.parseLong(matcher.group(1));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String jcmd(String commands) throws InterruptedException {
        try {
            Path file = Files.writeString(log.resolveSibling("jcmd.txt"), commands);
            Process jcmd = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                    Long.toString(process.pid()), "-f", file.toString()).redirectErrorStream(true).start();
            String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            jcmd.waitFor();
            return text;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the process by SIGKILL: its shutdown is not measured. */
    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
