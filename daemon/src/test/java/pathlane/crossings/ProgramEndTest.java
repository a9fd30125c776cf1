package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.wire.Message;

/**
 * The program, in a separate process, receives SIGTERM while calls or its start are in progress: calls must still get their
 * final answer before it exits.
 */
class ProgramEndTest {

    private static final int TERMINATED = 143;
    /** Longer than the time for which the program still accepts clients after SIGTERM. */
    private static final long PAST_ACCEPT_TIMEOUT_MS = 900;

    private static final long ANSWER_DELAY_MS = 400;

    @TempDir
    Path folder;

    @Test
    void aConnectionInTheBacklogIsAnsweredAfterTheAcceptTimeout() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer server = Peer.at(listening)) {
            program.signal("TERM");
            program.awaitLine("asked to end");
            program.signal("STOP");
            try (Peer client = Peer.to(program.address())) {
                client.send(Peer.callRequest(1, 0));
                Thread.sleep(PAST_ACCEPT_TIMEOUT_MS);   // the accept timeout passes while the process is stopped
                program.signal("CONT");
                server.next(Message.CALL_REQUEST, 1);
                Thread.sleep(ANSWER_DELAY_MS);   // a program that exits by elapsed time alone would have exited by now
                server.send(Peer.answer(1));
                client.next(Message.ANSWER, 1);
                client.awaitEnd();
            }
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void aPartlyReadCallRequestAndAPendingAttemptAreAnswered() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer server = Peer.at(listening);
                Peer client = Peer.to(program.address()); Peer other = Peer.to(program.address())) {
            client.send(Peer.callRequest(1, 0));
            server.next(Message.CALL_REQUEST, 1);
            byte[] late = Peer.callRequest(2, 0).bytes();
            other.sendBytes(late, 0, late.length / 2);
            program.signal("HUP");
            program.signal("TERM");
            program.awaitLine("asked to end");
            program.signal("TERM");
            other.sendBytes(late, late.length / 2, late.length);
            server.next(Message.CALL_REQUEST, 2);
            server.send(Peer.answer(2), Peer.answer(1));
            client.next(Message.ANSWER, 1);
            other.next(Message.ANSWER, 2);
            client.awaitEnd();
            other.awaitEnd();
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void aCallInItsRetryDelayIsRetriedAndAnswered() throws Exception {
        try (ServerSocket listening = Peer.server(); Program program = new Program(folder,
                Controller.config("", "", listening)); Peer client = Peer.to(program.address())) {
            try (Peer first = Peer.at(listening)) {
                client.send(Peer.callRequest(1, 0));
                first.next(Message.CALL_REQUEST, 1);
                program.signal("TERM");
                program.awaitLine("asked to end");
            }
            try (Peer second = Peer.at(listening)) {
                second.next(Message.CALL_REQUEST, 1);
                second.send(Peer.answer(1));
                client.next(Message.ANSWER, 1);
            }
            client.awaitEnd();
            assertEquals(TERMINATED, program.awaitEnd());
        }
    }

    @Test
    void anUnfinishedStartEndsAtOnce() throws Exception {
        try (ServerSocket listening = Peer.server(); ServerSocket bus = Peer.server()) {
            String config = Controller.config("", "", listening)
                    .replace("\"known\"", "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\"");
            try (Program program = Program.startWithoutWaiting(folder, config); Peer ignored = Peer.at(bus)) {
                program.signal("TERM");   // the start waits for the events of the bus
                assertEquals(TERMINATED, program.awaitEnd());
                assertTrue(program.logLines().stream().noneMatch(line -> line.contains("asked to end")),
                        String.join("\n", program.logLines()));
            }
        }
    }
}
