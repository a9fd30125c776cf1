package pathlane.crossings;

import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/** A caller's connection closes just as something is written to it. */
class CallerReconnectsTest {

    @Test
    void theEndOfACallIsToldOnAnotherConnectionWhereItNeverLeftOnItsOwn() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address)) {
            Peer gone = Peer.to(controller.address);
            other.awaitPassed();
            gone.send(Peer.setUp(1, 0));
            server.next(Message.SET_UP, 1);
            server.send(Peer.answer(1));
            gone.next(Message.ANSWER, 1);
            controller.whileBehind(() -> {
                server.send(Peer.release(1));   // read first, and its way to the caller is chosen
                gone.close();
            });
            other.next(Message.RELEASE, 1);
        }
    }

    @Test
    void aCallWhoseAnswerNeverLeftIsReleasedAtItsServer() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening)) {
            Peer gone = Peer.to(controller.address);
            gone.send(Peer.setUp(1, 0));
            server.next(Message.SET_UP, 1);
            controller.whileBehind(() -> {
                server.send(Peer.answer(1));
                gone.close();
            });
            server.next(Message.RELEASE, 1);
            controller.awaitCount(Counters.Name.ESTABLISHED, 1);
        }
    }
}
