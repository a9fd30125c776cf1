package pathlane.crossings;

import java.net.ServerSocket;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import pathlane.wire.Message;

/**
 * A client's destination that is not text must harm no other connection. Its replacement characters made the request for the
 * session server longer than a message may be, and the exception closed the connection whose input caused the sending.
 */
class UnreadableDestinationTest {

    private static final int DESTINATION_BYTES = 6000;

    @Test
    void aDestinationThatIsNotTextFailsItsCallAndNoOtherConnection() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening);
                Peer usual = Peer.to(controller.address);
                Peer bad = Peer.to(controller.address)) {
            server.send(capacity("free:0;size:10"));   // both calls wait until the server has a free slot
            controller.handlePendingInput();
            byte[] destination = new byte[DESTINATION_BYTES];
            Arrays.fill(destination, (byte) 0xff);
            bad.send(Peer.callRequest(1, 0).with(Message.DESTINATION, destination));
            usual.send(Peer.callRequest(2, 0));
            controller.handlePendingInput();
            server.send(capacity("free:10;size:10"));
            server.next(Message.CALL_REQUEST, 2);
            server.send(Peer.answer(2));
            usual.next(Message.ANSWER, 2);
            bad.next(Message.RELEASE, 1);
            bad.awaitTestPassed();
        }
    }

    private static Message capacity(String report) {
        return new Message(Message.CAPACITY_REPORT, 0).with(Message.CAPACITY, report);
    }
}
