package pathlane.crossings;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.wire.Message;

/** A connection is closed here just as something comes on it. */
class ConnectionCloseTest {

    @Test
    void theEndOfACallThatCrossesAnIdleCloseIsHeard() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", ", \"idle-close-ms\": 300", listening));
                Peer server = Peer.at(listening); Peer caller = Peer.to(controller.address)) {
            caller.send(Peer.setUp(1, 0));
            server.next(Message.SET_UP, 1);
            server.send(Peer.answer(1));
            caller.next(Message.ANSWER, 1);
            server.awaitEnd();   // closed as idle; the server had written the end just before it saw that
            server.send(Peer.release(1));
            caller.next(Message.RELEASE, 1);
        }
    }

    @Test
    void aSetUpThatHasComeOnAnIdleConnectionIsReadBeforeTheConnectionGivesWay() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("\"sockets\": 24", "", listening))) {
            List<Peer> idle = new ArrayList<>();
            for (int i = 0; i < 6; i++) {   // as many as 24 descriptors leave to callers
                idle.add(Peer.to(controller.address));
                idle.get(i).awaitPassed();
            }
            Peer[] next = new Peer[1];
            controller.whileBehind(() -> {
                next[0] = Peer.to(controller.address);
                idle.get(0).send(Peer.setUp(1, 0));
            });
            next[0].awaitPassed();
            try (Peer server = Peer.at(listening)) {
                server.next(Message.SET_UP, 1);
                server.send(Peer.answer(1));
            }
            idle.get(0).next(Message.ANSWER, 1);
            idle.get(1).awaitEnd();   // the next idlest gave way
            next[0].close();
            for (Peer one : idle) {
                one.close();
            }
        }
    }
}
