package pathlane.crossings;

import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/** A client connection closes while a message is written to it: the message must not be lost with the connection. */
class ClientReconnectTest {

    @Test
    void aReleaseThatWasNotSentOnTheCallsConnectionIsSentOnAnother() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address)) {
            Peer leaving = Peer.to(controller.address);
            other.awaitTestPassed();
            leaving.send(Peer.callRequest(1, 0));
            server.next(Message.CALL_REQUEST, 1);
            server.send(Peer.answer(1));
            leaving.next(Message.ANSWER, 1);
            controller.whileBlocked(() -> {
                server.send(Peer.release(1));   // read first, so it is written to the closing connection
                leaving.close();
            });
            other.next(Message.RELEASE, 1);
        }
    }

    @Test
    void aCallWhoseAnswerWasNotSentIsReleasedAtItsServer() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening)) {
            Peer leaving = Peer.to(controller.address);
            leaving.send(Peer.callRequest(1, 0));
            server.next(Message.CALL_REQUEST, 1);
            controller.whileBlocked(() -> {
                server.send(Peer.answer(1));
                leaving.close();
            });
            server.next(Message.RELEASE, 1);
            controller.awaitCount(Counters.Name.ESTABLISHED, 1);
        }
    }
}
