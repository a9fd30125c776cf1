package pathlane.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of a run, with what the system says of it. Some of them take commands: one answer follows each. One thread at a
 * time.
 */
final class ChildProcess implements AutoCloseable {

    private static final int END_SECONDS = 10;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;
    private Writer commands;
    private BufferedReader answers;

    ChildProcess(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    String name() {
        return name;
    }

    /** Starts it, or starts it anew after its end. What it writes as errors goes to its log. */
    void start() {
        try {
            process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        commands = process.outputWriter(StandardCharsets.UTF_8);
        answers = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Waits until it says that it can be commanded. */
    void awaitReady() {
        await(ControlMessage.Ready.class);
    }

    /** Sends a command; {@link #await} has its answer. */
    void send(ControlMessage.Command command) {
        try {
            commands.write(ControlMessage.line(command) + "\n");
            commands.flush();
        } catch (IOException e) {
            throw new IllegalStateException(name + " takes no more commands; its log is " + log, e);
        }
    }

    /** The next answer, which must be of this type. */
    <A extends ControlMessage.Answer> A await(Class<A> type) {
        try {
            String line = answers.readLine();
            if (line == null) {
                throw new IllegalStateException(name + " ended; its log is " + log);
            }
            return type.cast(ControlMessage.answer(line));
        } catch (IOException e) {
            throw new IllegalStateException(name + " can't be heard; its log is " + log, e);
        }
    }

    /** What it has used up so far. */
    ProcessUsage usage() {
        return ProcessUsage.of(process.toHandle());
    }

    /** SIGKILL, and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(name + " does not end");
        }
    }

    /** Ends it, at once. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
