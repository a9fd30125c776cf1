package pathlane.crossings;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.wire.Message;

/** The program closes a connection while a message arrives on it: the message must still be handled. */
class ConnectionCloseTest {

    @Test
    void aReleaseThatCrossesAnIdleCloseIsHandled() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", ", \"idle-close-ms\": 300", listening));
                Peer server = Peer.at(listening); Peer client = Peer.to(controller.address)) {
            client.send(Peer.callRequest(1, 0));
            server.next(Message.CALL_REQUEST, 1);
            server.send(Peer.answer(1));
            client.next(Message.ANSWER, 1);
            server.awaitEnd();   // closed as idle; the server writes the release before it notices
            server.send(Peer.release(1));
            client.next(Message.RELEASE, 1);
        }
    }

    @Test
    void aCallRequestOnAnIdleConnectionIsReadBeforeTheConnectionIsEvicted() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("\"sockets\": 24", "", listening))) {
            List<Peer> idle = new ArrayList<>();
            for (int i = 0; i < 6; i++) {   // the client connections that 24 descriptors permit
                idle.add(Peer.to(controller.address));
                idle.get(i).awaitTestPassed();
            }
            Peer[] next = new Peer[1];
            controller.whileBlocked(() -> {
                next[0] = Peer.to(controller.address);
                idle.get(0).send(Peer.callRequest(1, 0));
            });
            next[0].awaitTestPassed();
            try (Peer server = Peer.at(listening)) {
                server.next(Message.CALL_REQUEST, 1);
                server.send(Peer.answer(1));
            }
            idle.get(0).next(Message.ANSWER, 1);
            idle.get(1).awaitEnd();   // the connection idle for the next longest time was evicted
            next[0].close();
            for (Peer one : idle) {
                one.close();
            }
        }
    }
}
