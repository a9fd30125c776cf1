import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Training run for class data sharing: starts the program just built, runs typical calls over the loopback, and has its
 * JVM write an archive of the classes that it loaded. With the archive a start takes less than half the work, and the
 * first calls don't have to load and verify classes. The program also runs without it, so if this fails, the build prints
 * a message and continues.
 *
 * <p>Arguments: the java command, the program's jar, the archive to write.
 */
public final class Rehearsal {

    private static final int EXIT_TIMEOUT_SECONDS = 20;
    private static final int REQUEST = 1;
    private static final int ANSWER = 9;
    private static final int RELEASE = 12;
    private static final byte[] REJECTED_QUEUE_FULL = {(byte) 171, 0, 1, 34, (byte) 150, 0, 10, 'q', 'u', 'e', 'u', 'e', '_',
            'l', 'o', 'n', 'g'};
    private static final byte[] ERROR = {(byte) 171, 0, 1, 47};
    private static final byte[] COMPLETED = {(byte) 171, 0, 1, 16};
    private static final byte[] PAYLOAD = {(byte) 174, 0, 2, 'o', 'k'};
    private static final byte[] CAPACITY_REPORT = parameter(156, "free:100;size:100");
    private static final int CAPACITY = 43;
    private static final int CALLS = 40;
    private static final int SERVERS = 3;
    private static final Pattern SERVING_LINE = Pattern.compile("serves on .*:(\\d+)$");

    private final List<ServerSocket> servers = new ArrayList<>();
    private final BlockingQueue<Integer> receivedTypes = new LinkedBlockingQueue<>();
    private volatile int busPort;

    private Rehearsal() {}

    public static void main(String[] args) throws InterruptedException {
        Path archive = Path.of(args[2]);
        try {
            Files.deleteIfExists(archive);
            new Rehearsal().run(args[0], args[1], archive);
            if (!Files.exists(archive)) {
                System.err.println("rehearsal: the JVM wrote no archive; the program starts without one");
            }
        } catch (IOException e) {
            System.err.println("rehearsal: " + e.getMessage() + "; the program starts without an archive");
        }
        System.exit(0);   // also ends the threads that wait for connections
    }

    private void run(String java, String jar, Path archive) throws IOException, InterruptedException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
            start(servers.get(i), this::serveCalls);
        }
        ServerSocket bus = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        busPort = bus.getLocalPort();
        start(bus, this::serveBus);
        Path config = Files.createTempFile("rehearsal", ".json");
        Files.writeString(config, config());
        ProcessBuilder builder = new ProcessBuilder(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true", "-XX:ArchiveClassesAtExit=" + archive, "-Xlog:cds=off",
                "-Xlog:cds+dynamic=off", "-jar", jar, "serve").redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        Process program = builder.start();
        try {
            makeCalls(awaitPort(program));
            program.destroy();
            if (!program.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("the program did not end");
            }
        } finally {
            program.destroyForcibly();
            Files.deleteIfExists(config);
        }
    }

    private static int awaitPort(Process program) throws IOException {
        BufferedReader log = new BufferedReader(new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
        StringBuilder output = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            output.append(line).append(' ');
            Matcher serves = SERVING_LINE.matcher(line);
            if (serves.find()) {
                startDaemon(() -> {
                    while (log.readLine() != null) {
                        // Drains the log so that the program never blocks on a full pipe.
                    }
                });
                return Integer.parseInt(serves.group(1));
            }
        }
        throw new IOException("the program ended before it served: " + output);
    }

    /** Makes calls of both classes in turn; some are cancelled, some released by the client, some by the server. */
    private void makeCalls(int port) throws IOException, InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            startDaemon(() -> readAnswers(socket));
            send(out, 52, 0, new byte[] {(byte) 171, 0, 1, 0});
            for (int i = 1; i <= CALLS; i++) {
                send(out, REQUEST, i, concatenate(parameter(129, i % 4 == 0 ? "deadline-sign" : "status-check"),
                        parameter(132, "2000"), parameter(141, "555-" + i % 7),
                        parameter(144, "dest:" + i % SERVERS + ";width:1;via:-1"), PAYLOAD));
                if (i % 8 == 0) {
                    send(out, RELEASE, i, COMPLETED);
                } else {
                    receivedTypes.poll(100, TimeUnit.MILLISECONDS);
                }
            }
            send(out, REQUEST, CALLS + 1, parameter(129, "no such class"));
            send(out, RELEASE, CALLS + 2, COMPLETED);
            receivedTypes.poll(1, TimeUnit.SECONDS);
        }
    }

    private void readAnswers(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            receivedTypes.add((int) message(in).get(0));
        }
    }

    /** A session server: most calls are established, some of them released at once; others are rejected, fail, or break. */
    private void serveCalls(Socket socket) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        send(out, CAPACITY, 0, CAPACITY_REPORT);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            ByteBuffer message = message(in);
            long call = message.getLong(1);
            if (message.get(0) == REQUEST) {
                if (call % 16 == 5) {
                    send(out, RELEASE, call, REJECTED_QUEUE_FULL);
                } else if (call % 16 == 9) {
                    send(out, RELEASE, call, ERROR);
                } else if (call == 30) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else if (call % 8 != 0) {
                    send(out, ANSWER, call, PAYLOAD);
                    send(out, CAPACITY, 0, CAPACITY_REPORT);
                    if (call % 3 == 0) {
                        send(out, RELEASE, call, COMPLETED);
                    }
                }
            }
        }
    }

    /** The event bus: the first server drains and is removed, and a new one appears at the address of the second. */
    private void serveBus(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        long offset = in.readLong();
        for (int state = 1; offset == 1 && state <= 2; state++) {
            out.writeInt(9 + 27 * 2);
            out.writeLong(offset + state);
            out.writeByte(2);
            record(out, 1, servers.get(0).getLocalPort(), state);
            record(out, 9, servers.get(1).getLocalPort(), 0);
            out.flush();
        }
        out.writeInt(9);
        out.writeLong(offset + 2);
        out.writeByte(0);
        out.flush();
        in.read();   // blocks until the program has ended
    }

    private static void record(DataOutputStream out, int id, int port, int state) throws IOException {
        out.writeInt(id);
        out.writeInt(0x7f000001);
        out.writeShort(port);
        out.writeByte(state);
        out.writeShort(0);
        out.writeShort(id - 1);
        out.writeInt(1000);
        out.writeLong(0);
    }

    private String config() {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            hosts.append(i == 0 ? "" : ",").append(String.format("{\"host\":\"s-%08x\",\"dial\":\"127.0.0.1:%d\","
                    + "\"site\":\"a\",\"class\":\"std\",\"block\":%d,\"health\":\"SERVING\",\"share\":1,\"born_ms\":0}",
                    i + 1, servers.get(i).getLocalPort(), i));
        }
        return "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"limits\":{\"sockets\":512},\"seed\":\"1\","
                + "\"bus\":\"127.0.0.1:" + busPort + "\","
                + "\"known\":{\"offset\":1,\"batch\":[{\"offset\":1,\"topology\":{\"seq\":1,\"whole\":true,"
                + "\"hosts\":[" + hosts + "]}}]},\"settings\":{\"balancers\":4,\"tick-ms\":5,\"lanes\":["
                + "{\"name\":\"status-check\",\"aim-ms\":1500,\"deadline-ms\":9000,\"importance\":1,\"late-value\":0.25},"
                + "{\"name\":\"deadline-sign\",\"aim-ms\":800,\"deadline-ms\":6000,\"importance\":6,\"late-value\":0.1}],"
                + "\"ceilings\":{\"cancelling\":true,\"max-attempts\":6,\"dial-timeout-ms\":500,\"retry-after\":true,"
                + "\"max-retry-after-ms\":2000},\"rules\":{\"cold-from\":0.28,\"cold-ms\":13000,\"fall-multiple\":3,"
                + "\"fall-ms\":1500},\"specifics\":{\"clear-wait-ms\":200,\"t1-ms\":500}}}";
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void start(ServerSocket listener, ConnectionHandler handler) {
        startDaemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                startDaemon(() -> handler.handle(socket));
            }
        });
    }

    /** Runs the work on a daemon thread until its connection closes. */
    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection has closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static ByteBuffer message(DataInputStream in) throws IOException {
        byte[] message = new byte[in.readUnsignedShort()];
        in.readFully(message);
        return ByteBuffer.wrap(message);
    }

    private static void send(DataOutputStream out, int type, long call, byte[] parameters) throws IOException {
        ByteBuffer message = ByteBuffer.allocate(2 + 1 + Long.BYTES + parameters.length);
        message.putShort((short) (1 + Long.BYTES + parameters.length)).put((byte) type).putLong(call).put(parameters);
        synchronized (out) {
            out.write(message.array());
            out.flush();
        }
    }

    private static byte[] parameter(int code, String text) {
        byte[] value = text.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(3 + value.length).put((byte) code).putShort((short) value.length).put(value).array();
    }

    private static byte[] concatenate(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteBuffer all = ByteBuffer.allocate(length);
        for (byte[] part : parts) {
            all.put(part);
        }
        return all.array();
    }
}
