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

/** The program with no more descriptors than it asks for at the least, all that callers may have taken up. */
class DescriptorsTest {

    private static final int LEAST = 48;
    /** More than callers may have of so few. */
    private static final int CALLERS = 24;

    /** The program is one jar; from the classes under test it holds one descriptor for each jar. */
    private static final int JARS = (int) Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(path -> path.endsWith(".jar")).count() - 1;

    @TempDir
    Path folder;

    @Test
    void theListIsFollowedElsewhereAndANewServerIsDialledThoughIdleCallersTakeAllTheyMay() throws Exception {
        try (ServerSocket old = Peer.server(); ServerSocket fresh = Peer.server(); ServerSocket before = Peer.server();
                ServerSocket after = Peer.server()) {
            String config = Controller.config("\"sockets\": " + LEAST, "", old)
                    .replace("\"known\"", "\"bus\": \"127.0.0.1:" + before.getLocalPort() + "\", \"known\"");
            List<Peer> idle = new ArrayList<>();
            try (Program program = Program.within(LEAST + JARS, folder, config)) {
                Peer.at(before).close();
                before.close();   // discovery is down
                for (int i = 0; i < CALLERS; i++) {
                    idle.add(Peer.to(program.address()));
                    idle.get(i).awaitPassed();   // the idlest gives way once there are too many
                }
                Files.writeString(folder.resolve("config.json"), config.replace(
                        "127.0.0.1:" + before.getLocalPort(), "127.0.0.1:" + after.getLocalPort()));
                program.signal("HUP");
                try (Peer bus = Peer.at(after); Peer caller = Peer.to(program.address())) {
                    bus.sendBytes(listing(fresh.getLocalPort()), 0, listing(1).length);
                    program.awaitLine("s-00000009");
                    caller.send(Peer.setUp(1, 9));
                    try (Peer server = Peer.at(fresh)) {
                        server.next(Message.SET_UP, 1);
                        server.send(Peer.answer(1));
                        caller.next(Message.ANSWER, 1);
                    }
                }
                assertTrue(program.said().stream().noneMatch(line -> line.contains("Too many open files")),
                        String.join("\n", program.said()));
            } finally {
                for (Peer one : idle) {
                    one.close();
                }
            }
        }
    }

    /** Event 2: server 9 in cell 9, ready since long ago, and server 1 gone. */
    private static byte[] listing(int port) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(4 + 9 + 2 * 27).putInt(9 + 2 * 27).putLong(2).put((byte) 2);
        for (int id : new int[] {9, 1}) {
            frame.putInt(id).put(new byte[] {127, 0, 0, 1}).putShort((short) port).put((byte) (id == 1 ? 2 : 0))
                    .putShort((short) 0).putShort((short) id).putInt(1000).putLong(1);
        }
        return frame.array();
    }
}
