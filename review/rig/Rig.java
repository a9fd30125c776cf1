import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: a temporary folder, timers, the programs that were started, and the way to end all of it. */
final class Rig implements AutoCloseable {

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Path temp;
    final Rec rec;
    final boolean hasTrouble;
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Program> programs = new ArrayList<>();
    private final Thread hook = new Thread(this::endPrograms);

    Rig(String[] args) throws IOException {
        folder = Path.of(args[0]);
        hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        temp = Files.createTempDirectory("review");
        rec = new Rec(folder.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(hook);
        rec.say(hasTrouble ? "run with the disruption" : "run without the disruption");
    }

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    /** Runs a case; the exit status is 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
    static void main(String[] args, Body body) throws IOException {
        Rig rig = new Rig(args);
        Thread watchdog = new Thread(() -> {
            sleep(115_000);
            rig.rec.say("the case took too long");
            rig.close();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try {
            boolean held = body.run(rig);
            rig.rec.say(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Exception | Error e) {
            rig.rec.say("the case could not run: " + e);
            e.printStackTrace();
            status = 2;
        }
        rig.close();
        System.exit(status);
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A task that throws would end unseen. */
    void after(long millis, Runnable task) {
        timers.schedule(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                rec.say("a timer failed: " + e);
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    /** A port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    Program start(String name, String command, String... environment) throws IOException {
        Program program = new Program(this, name, command, environment);
        synchronized (programs) {
            programs.add(program);
        }
        return program;
    }

    /** A line of the deploy file, such as {@code run}. */
    String deployLine(String key) throws IOException {
        try (Stream<String> lines = Files.lines(root.resolve("deploy/balancer.toml"))) {
            String line = lines.filter(text -> text.startsWith(key + " = \"")).findFirst().orElseThrow();
            return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
    }

    /** Starts a call controller with the deploy file's run; its configuration is in this file. */
    Program startController(String name, int port, Path config) throws IOException {
        Path own = Files.createTempDirectory(temp, "tmp");
        return start(name, deployLine("run"), "RELAY_NAME", name, "RELAY_LISTEN", "127.0.0.1:" + port, "RELAY_CONFIG",
                config.toString(), "TMPDIR", own.toString());
    }

    private void endPrograms() {
        synchronized (programs) {
            programs.forEach(Program::kill);
        }
    }

    @Override
    public void close() {
        endPrograms();
        timers.shutdownNow();
        rec.close();
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }
}
