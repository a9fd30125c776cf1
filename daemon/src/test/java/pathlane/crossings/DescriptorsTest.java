package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.wire.Message;

/**
 * Runs the program with the minimum number of descriptors while clients use all that they may. Guards against failures with
 * "Too many open files" when the event bus moves or a server is added, and against accepting no more connections after such
 * a failure.
 */
class DescriptorsTest {

    private static final int MIN_DESCRIPTORS = 48;
    /** More connections than clients may have with so few descriptors. */
    private static final int CLIENTS = 24;

    /** The packaged program is one jar; run from test classes it holds one more descriptor for each further jar. */
    private static final int JARS = (int) Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(path -> path.endsWith(".jar")).count() - 1;

    @TempDir
    Path folder;

    @Test
    void theMovedEventBusAndANewServerAreConnectedWhileIdleClientsUseTheirFullShare() throws Exception {
        try (ServerSocket old = Peer.server(); ServerSocket added = Peer.server(); ServerSocket oldBus = Peer.server();
                ServerSocket newBus = Peer.server()) {
            String config = Controller.config("\"sockets\": " + MIN_DESCRIPTORS, "", old)
                    .replace("\"known\"", "\"bus\": \"127.0.0.1:" + oldBus.getLocalPort() + "\", \"known\"");
            List<Peer> idle = new ArrayList<>();
            try (Program program = Program.withDescriptors(MIN_DESCRIPTORS + JARS, folder, config)) {
                Peer.at(oldBus).close();
                oldBus.close();   // the event bus is down
                for (int i = 0; i < CLIENTS; i++) {
                    idle.add(Peer.to(program.address()));
                    idle.get(i).awaitTestPassed();   // above the limit the longest idle connection is evicted
                }
                Files.writeString(folder.resolve("config.json"), config.replace(
                        "127.0.0.1:" + oldBus.getLocalPort(), "127.0.0.1:" + newBus.getLocalPort()));
                program.signal("HUP");
                try (Peer bus = Peer.at(newBus); Peer client = Peer.to(program.address())) {
                    bus.sendBytes(serverEvent(added.getLocalPort()), 0, serverEvent(1).length);
                    program.awaitLine("s-00000009");
                    client.send(Peer.callRequest(1, 9));
                    try (Peer server = Peer.at(added)) {
                        server.next(Message.CALL_REQUEST, 1);
                        server.send(Peer.answer(1));
                        client.next(Message.ANSWER, 1);
                    }
                }
                assertTrue(program.logLines().stream().noneMatch(line -> line.contains("Too many open files")),
                        String.join("\n", program.logLines()));
            } finally {
                for (Peer one : idle) {
                    one.close();
                }
            }
        }
    }

    @Test
    void acceptingResumesOnceDescriptorsAreFreeAgain() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            // The process has fewer descriptors than configured, so connections stay in the backlog.
            String config = Controller.config("\"sockets\": 1024", "", listening);
            List<Peer> many = new ArrayList<>();
            try (Program program = Program.withDescriptors(MIN_DESCRIPTORS + JARS, folder, config)) {
                // Open and close connections first, so that the classes needed later are loaded: loading takes a descriptor.
                for (int i = 0; i < 2; i++) {
                    try (Peer first = Peer.to(program.address())) {
                        first.awaitTestPassed();
                    }
                }
                for (int i = 0; i < 2 * MIN_DESCRIPTORS; i++) {
                    many.add(Peer.to(program.address()));
                }
                program.awaitLine("no connection can be accepted now");
                for (Peer one : many) {
                    one.close();
                }
                try (Peer client = Peer.to(program.address())) {
                    client.awaitTestPassed();
                }
            }
        }
    }

    /** Returns event 2: server 9 in cell 9, not in slow start, is added and server 1 removed. */
    private static byte[] serverEvent(int port) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(4 + 9 + 2 * 27).putInt(9 + 2 * 27).putLong(2).put((byte) 2);
        for (int id : new int[] {9, 1}) {
            frame.putInt(id).put(new byte[] {127, 0, 0, 1}).putShort((short) port).put((byte) (id == 1 ? 2 : 0))
                    .putShort((short) 0).putShort((short) id).putInt(1000).putLong(1);
        }
        return frame.array();
    }
}
