package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.wire.Message;

/** The program in a process of its own is asked to end while something is under way. */
class ProgramEndTest {

    private static final int TERMINATED = 143;
    /** Longer than the program goes on for callers that still come. */
    private static final long OVER_MS = 900;

    private static final long SLOW_MS = 400;

    @TempDir
    Path folder;

    @Test
    void aConnectionInTheBacklogIsAnsweredThoughTheTimeIsUp() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer server = Peer.at(listening)) {
            program.signal("TERM");
            program.awaitLine("asked to end");
            program.signal("STOP");
            try (Peer caller = Peer.to(program.address())) {
                caller.send(Peer.setUp(1, 0));
                Thread.sleep(OVER_MS);   // the time within which callers may come runs out while the program stands still
                program.signal("CONT");
                server.next(Message.SET_UP, 1);
                Thread.sleep(SLOW_MS);   // the server takes its time; a program that ends by the clock alone is gone by then
                server.send(Peer.answer(1));
                caller.next(Message.ANSWER, 1);
                caller.awaitEnd();
            }
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void aSetUpThatWasHalfReadAndAnAttemptThatIsOutAreAnswered() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer server = Peer.at(listening);
                Peer caller = Peer.to(program.address()); Peer other = Peer.to(program.address())) {
            caller.send(Peer.setUp(1, 0));
            server.next(Message.SET_UP, 1);
            byte[] late = Peer.setUp(2, 0).bytes();
            other.sendBytes(late, 0, late.length / 2);
            program.signal("HUP");
            program.signal("TERM");
            program.awaitLine("asked to end");
            program.signal("TERM");
            other.sendBytes(late, late.length / 2, late.length);
            server.next(Message.SET_UP, 2);
            server.send(Peer.answer(2), Peer.answer(1));
            caller.next(Message.ANSWER, 1);
            other.next(Message.ANSWER, 2);
            caller.awaitEnd();
            other.awaitEnd();
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void aCallInItsReleaseWaitIsSentOnAndAnswered() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer caller = Peer.to(program.address())) {
            try (Peer first = Peer.at(listening)) {
                caller.send(Peer.setUp(1, 0));
                first.next(Message.SET_UP, 1);
                program.signal("TERM");
                program.awaitLine("asked to end");
            }
            try (Peer second = Peer.at(listening)) {
                second.next(Message.SET_UP, 1);
                second.send(Peer.answer(1));
                caller.next(Message.ANSWER, 1);
            }
            caller.awaitEnd();
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void aStartThatHasNotFinishedEndsAtOnce() throws Exception {
        try (ServerSocket listening = Peer.server(); ServerSocket bus = Peer.server()) {
            String config = Controller.config("", "", listening)
                    .replace("\"known\"", "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\"");
            try (Program program = Program.begun(folder, config); Peer ignored = Peer.at(bus)) {
                program.signal("TERM");   // the start waits for what the bus has to tell
                assertEquals(TERMINATED, program.awaitEnd());
                assertTrue(program.said().stream().noneMatch(line -> line.contains("asked to end")),
                        String.join("\n", program.said()));
            }
        }
    }
}
