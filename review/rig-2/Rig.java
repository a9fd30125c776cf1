import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What every case needs: free ports, a temporary folder, child processes, the record, and the verdict. */
final class Rig {

    /** Thrown when the case could not be set up; the script then exits with 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** A case's body: returns null if the rule held, or else how it was broken. */
    interface Body {
        String run(Rig rig) throws Exception;
    }

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    private final PrintStream record;
    private final List<Process> children = new ArrayList<>();
    private final long startedAt = System.currentTimeMillis();

    private Rig(Path root, PrintStream record) throws IOException {
        this.root = root;
        this.record = record;
        this.folder = Files.createTempDirectory("review");
    }

    /** Runs a case; the first argument is the repository's root, the second the case's folder. */
    static void main(String[] args, Body body) {
        int code = 2;
        try (PrintStream record = new PrintStream(Path.of(args[1], "record.txt").toFile(), StandardCharsets.UTF_8)) {
            Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), record);
            Runtime.getRuntime().addShutdownHook(new Thread(rig::end));
            try {
                rig.note("disruption: " + (rig.trouble ? "on" : "off (TROUBLE=0)"));
                String broken = body.run(rig);
                code = broken == null ? 0 : 1;
                rig.note(broken == null ? "RULE HELD" : "RULE BROKEN: " + broken);
            } catch (Exception e) {
                rig.note("COULD NOT RUN: " + e);
                e.printStackTrace();
            }
            rig.end();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Adds a line to the record, with the time since the start in milliseconds. */
    synchronized void note(String line) {
        String text = String.format("%7d  %s", System.currentTimeMillis() - startedAt, line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    /** Adds a line to the record alone. */
    synchronized void detail(String line) {
        record.println(line);
    }

    /** The time since the start of the case, for a line of the record. */
    String since(long at) {
        return at == 0 ? "-" : Long.toString(at - startedAt);
    }

    /** A port that was free a moment ago, below those that the system gives to outgoing connections. */
    static synchronized int freePort() {
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + ThreadLocalRandom.current().nextInt(12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                continue;   // in use
            }
        }
        throw new CannotRun("no free port");
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    /** Waits until the condition holds; returns whether it did in time. */
    static boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > end) {
                return false;
            }
            Thread.sleep(2);
        }
        return true;
    }

    void require(long millis, String what, BooleanSupplier condition) throws InterruptedException {
        if (!await(millis, condition)) {
            throw new CannotRun(what);
        }
    }

    /** The command that a key of the deploy file holds. */
    String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("deploy/balancer.toml has no " + key);
    }

    /** Starts a call controller by the command {@code run} of the deploy file, with other arguments if they are given. */
    Process controller(String arguments, Map<String, String> environment, Consumer<String> lines) throws IOException {
        String command = deployCommand("run");
        if (arguments != null) {
            command = command.substring(0, command.lastIndexOf(" serve")) + " " + arguments;
        }
        return child("controller", new ProcessBuilder("/bin/sh", "-c", command), environment, lines);
    }

    /** Starts one of the stand-ins as a process of its own; if the first argument is a jar, it is on the class path. */
    Process standIn(String name, Consumer<String> lines, String... arguments) throws IOException {
        boolean hasJar = arguments[0].endsWith(".jar");
        List<String> command = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m",
                "-cp", root.resolve("review/target/rig-2") + (hasJar ? ":" + arguments[0] : "")));
        command.addAll(List.of(arguments).subList(hasJar ? 1 : 0, arguments.length));
        return child(name, new ProcessBuilder(command), Map.of(), lines);
    }

    private Process child(String name, ProcessBuilder builder, Map<String, String> environment, Consumer<String> lines)
            throws IOException {
        builder.directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (children) {
            children.add(process);
        }
        Thread reader = new Thread(() -> {
            try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    lines.accept(line);
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }, name + " output");
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** Ends all processes that this case started and removes its folder. */
    private void end() {
        synchronized (children) {
            children.forEach(Process::destroyForcibly);
            children.clear();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // Already removed.
        }
    }

    /** Closes a socket by a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
        return socket;
    }
}
