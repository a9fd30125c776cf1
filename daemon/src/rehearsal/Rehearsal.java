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
 * Starts the program that was just built once, leads it through the usual course of calls over the loopback, and has
 * its JVM leave an archive of the classes that it loaded: a later start then takes under half the work, and the first
 * calls meet no class that has yet to be read and verified. Without the archive the program runs all the same, so a
 * build where this does not succeed says so and goes on.
 *
 * <p>Arguments: the java command, the program's jar, the archive to write.
 */
public final class Rehearsal {

    private static final int SECONDS = 20;
    private static final int SET_UP = 1;
    private static final int ANSWER = 9;
    private static final int RELEASE = 12;
    private static final byte[] REFUSED_FULL = {(byte) 171, 0, 1, 34, (byte) 150, 0, 10, 'q', 'u', 'e', 'u', 'e', '_',
            'l', 'o', 'n', 'g'};
    private static final byte[] ERROR = {(byte) 171, 0, 1, 47};
    private static final byte[] OVER = {(byte) 171, 0, 1, 16};
    private static final byte[] DESCRIPTION = {(byte) 174, 0, 2, 'o', 'k'};
    private static final byte[] LINES = parameter(156, "free:100;size:100");
    private static final int GROUP_STATE = 43;
    private static final int CALLS = 40;
    private static final int SERVERS = 3;
    private static final Pattern SERVES = Pattern.compile("serves on .*:(\\d+)$");

    private final List<ServerSocket> servers = new ArrayList<>();
    private final BlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
    private volatile int busPort;

    private Rehearsal() {}

    public static void main(String[] args) throws InterruptedException {
        Path archive = Path.of(args[2]);
        try {
            Files.deleteIfExists(archive);
            new Rehearsal().play(args[0], args[1], archive);
            if (!Files.exists(archive)) {
                System.err.println("rehearsal: the JVM left no archive; the program starts without one");
            }
        } catch (IOException e) {
            System.err.println("rehearsal: " + e.getMessage() + "; the program starts without an archive");
        }
        System.exit(0);   // threads that wait for connections end with it
    }

    private void play(String java, String jar, Path archive) throws IOException, InterruptedException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
            start(servers.get(i), this::serve);
        }
        ServerSocket bus = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        busPort = bus.getLocalPort();
        start(bus, this::tell);
        Path config = Files.createTempFile("rehearsal", ".json");
        Files.writeString(config, config());
        ProcessBuilder builder = new ProcessBuilder(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true", "-XX:ArchiveClassesAtExit=" + archive, "-Xlog:cds=off",
                "-Xlog:cds+dynamic=off", "-jar", jar, "serve").redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        Process program = builder.start();
        try {
            call(port(program));
            program.destroy();
            if (!program.waitFor(SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("the program did not end");
            }
        } finally {
            program.destroyForcibly();
            Files.deleteIfExists(config);
        }
    }

    private static int port(Process program) throws IOException {
        BufferedReader log = new BufferedReader(new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
        StringBuilder said = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            said.append(line).append(' ');
            Matcher serves = SERVES.matcher(line);
            if (serves.find()) {
                daemon(() -> {
                    while (log.readLine() != null) {
                        // The program must not wait for somebody to read what it says.
                    }
                });
                return Integer.parseInt(serves.group(1));
            }
        }
        throw new IOException("the program ended before it served: " + said);
    }

    /** Calls one after the other, of both classes; some are given up, some are released here, some by the server. */
    private void call(int port) throws IOException, InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            daemon(() -> read(socket));
            send(out, 52, 0, new byte[] {(byte) 171, 0, 1, 0});
            for (int i = 1; i <= CALLS; i++) {
                send(out, SET_UP, i, together(parameter(129, i % 4 == 0 ? "deadline-sign" : "status-check"),
                        parameter(132, "2000"), parameter(141, "555-" + i % 7),
                        parameter(144, "dest:" + i % SERVERS + ";width:1;via:-1"), DESCRIPTION));
                if (i % 8 == 0) {
                    send(out, RELEASE, i, OVER);
                } else {
                    heard.poll(100, TimeUnit.MILLISECONDS);
                }
            }
            send(out, SET_UP, CALLS + 1, parameter(129, "no such class"));
            send(out, RELEASE, CALLS + 2, OVER);
            heard.poll(1, TimeUnit.SECONDS);
        }
    }

    private void read(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            heard.add((int) message(in).get(0));
        }
    }

    /** A session server: most calls stand and are over 30 ms later; some are turned away, end in an error, or break. */
    private void serve(Socket socket) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        send(out, GROUP_STATE, 0, LINES);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            ByteBuffer message = message(in);
            long call = message.getLong(1);
            if (message.get(0) == SET_UP) {
                if (call % 16 == 5) {
                    send(out, RELEASE, call, REFUSED_FULL);
                } else if (call % 16 == 9) {
                    send(out, RELEASE, call, ERROR);
                } else if (call == 30) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else if (call % 8 != 0) {
                    send(out, ANSWER, call, DESCRIPTION);
                    send(out, GROUP_STATE, 0, LINES);
                    if (call % 3 == 0) {
                        send(out, RELEASE, call, OVER);
                    }
                }
            }
        }
    }

    /** The event bus: the first server drains and goes, and a new one comes at the address of the second. */
    private void tell(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        long last = in.readLong();
        for (int state = 1; last == 1 && state <= 2; state++) {
            out.writeInt(9 + 27 * 2);
            out.writeLong(last + state);
            out.writeByte(2);
            record(out, 1, servers.get(0).getLocalPort(), state);
            record(out, 9, servers.get(1).getLocalPort(), 0);
            out.flush();
        }
        out.writeInt(9);
        out.writeLong(last + 2);
        out.writeByte(0);
        out.flush();
        in.read();   // until the program has ended
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

    private interface Talk {
        void with(Socket socket) throws IOException;
    }

    private interface Work {
        void go() throws IOException;
    }

    private static void start(ServerSocket listener, Talk talk) {
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> talk.with(socket));
            }
        });
    }

    /** Works until a connection ends under it. */
    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.go();
            } catch (IOException e) {
                // The end of the connection.
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

    private static byte[] together(byte[]... parts) {
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
