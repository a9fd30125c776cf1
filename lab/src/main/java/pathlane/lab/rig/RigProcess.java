package pathlane.lab.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pathlane.lab.EventRecorder;
import pathlane.lab.EventRecorder.EventKind;

/**
 * A named process of the test bed that can be started, restarted, stopped (SIGSTOP), resumed, killed and terminated, each
 * by its process id. Each line of its log is recorded in the history and written to a file. Safe for threads.
 */
final class RigProcess {

    private static final int EXIT_TIMEOUT_SECONDS = 20;

    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private final Path log;
    private final EventRecorder history;
    private volatile Process process;
    private Thread reader;

    RigProcess(String name, List<String> command, Map<String, String> environment, Path log, EventRecorder history) {
        this.name = name;
        this.command = command;
        this.environment = environment;
        this.log = log;
        this.history = history;
    }

    String name() {
        return name;
    }

    /** Whether the process is running; does not block, as it is also called on the event loop. */
    boolean isUp() {
        Process current = process;
        return current != null && current.isAlive();
    }

    /** User and system processor time of the running process. */
    synchronized Duration cpu() {
        return process.info().totalCpuDuration().orElseThrow();
    }

    synchronized void start() {
        if (isUp()) {
            throw new IllegalStateException(name + " is already running");
        }
        history.record(EventKind.DID, name, "", "", "started");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        try {
            process = builder.start();
            process.getOutputStream().close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process started = process;
        reader = new Thread(() -> read(started), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process readProcess) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(readProcess.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Files.writeString(log, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                history.record(EventKind.LOGGED, name, "", "", line);
            }
        } catch (IOException e) {
            history.record(EventKind.LOGGED, name, "", "", "its log can't be read: " + e.getMessage());
        }
    }

    /** Sends SIGKILL. Returns once the process has exited. */
    synchronized void kill() throws InterruptedException {
        if (isUp()) {
            signal("KILL", "killed");
            awaitExit();
        }
    }

    /** Sends SIGTERM. Returns immediately. */
    void terminate() throws InterruptedException {
        signal("TERM", "asked to end");
    }

    /** Waits until the process has exited. */
    synchronized void awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(name + " does not exit");
        }
        reader.join(EXIT_TIMEOUT_SECONDS * 1000L);
    }

    /** Sends SIGSTOP: the process is suspended and its connections stay open. */
    void stop() throws InterruptedException {
        signal("STOP", "stopped");
    }

    /** Sends SIGCONT. */
    void resume() throws InterruptedException {
        signal("CONT", "continued");
    }

    /** Uses the system's {@code kill}: the JDK's methods to end a process close its output before it is read. */
    private synchronized void signal(String signal, String action) throws InterruptedException {
        history.record(EventKind.DID, name, "", "", action);
        try {
            int status = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            if (status != 0) {
                throw new IllegalStateException(name + " was not " + action + ": kill exited with " + status);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
