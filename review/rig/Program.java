import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project's own, started by /bin/sh -c from the root. */
final class Program {

    private final Rig rig;
    private final String name;
    private final Process process;
    private final List<String> log = new ArrayList<>();

    Program(Rig rig, String name, String command, String... environment) throws IOException {
        this.rig = rig;
        this.name = name;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(rig.root.toFile())
                .redirectErrorStream(true);
        for (int i = 0; i < environment.length; i += 2) {
            builder.environment().put(environment[i], environment[i + 1]);
        }
        rig.rec.say("starts " + name);
        process = builder.start();
        Rig.daemon("log of " + name, () -> {
            try (BufferedReader reader = process.inputReader()) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    rig.rec.line(name + " | " + line);
                    synchronized (log) {
                        log.add(line);
                        log.notifyAll();
                    }
                }
            } catch (IOException e) {
                // the process was ended
            }
        });
    }

    /** Waits for a line of the log that holds these words. */
    void await(String words, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        synchronized (log) {
            while (log.stream().noneMatch(line -> line.contains(words))) {
                long left = (end - System.nanoTime()) / 1_000_000;
                Rig.require(left > 0 && process.isAlive(), name + " never said: " + words);
                log.wait(Math.min(left, 200));
            }
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** SIGKILL. */
    void kill() {
        if (process.isAlive()) {
            rig.rec.line("kills " + name);
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** SIGSTOP, SIGCONT and the like, to this process alone. */
    void signal(String signal) {
        rig.rec.say("sends SIG" + signal + " to " + name);
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** SIGTERM. */
    void terminate() {
        rig.rec.say("terminates " + name);
        process.destroy();
    }
}
