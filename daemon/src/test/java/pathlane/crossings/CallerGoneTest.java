package pathlane.crossings;

import java.net.ServerSocket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/** A caller goes while its set-up is on its way: nothing of it reaches a session server any more. */
class CallerGoneTest {

    @Test
    void aCloseThatWaitsToBeReadWithTheSetUpIsHeardBeforeTheSetUpLeaves() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address)) {
            Peer gone = Peer.to(controller.address);
            gone.awaitPassed();
            other.awaitPassed();
            controller.whileBehind(() -> {
                gone.send(Peer.setUp(1, 0));
                gone.close();
            });
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            other.send(Peer.setUp(2, 0));
            server.next(Message.SET_UP, 2);
        }
    }

    @Test
    void aHalfCloseIsAClose() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address);
                Peer gone = Peer.to(controller.address)) {
            gone.awaitPassed();
            other.awaitPassed();
            controller.whileBehind(() -> {
                gone.send(Peer.setUp(1, 0));
                gone.endThisSide();
            });
            gone.awaitEnd();
            other.send(Peer.setUp(2, 0));
            server.next(Message.SET_UP, 2);
        }
    }

    @Test
    void aCancellationThatIsReadWithTheSetUpTakesItBack() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer caller = Peer.to(controller.address)) {
            caller.send(Peer.setUp(1, 0), Peer.release(1), Peer.setUp(2, 0));
            server.next(Message.SET_UP, 2);
        }
    }

    @Test
    void aSetUpThatWaitsForADialIsForgotten() throws Exception {
        BlockingQueue<Runnable> held = new ArrayBlockingQueue<>(8);
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening),
                        dialer -> (address, timeout, protocol) -> held
                                .add(() -> dialer.connect(address, timeout, protocol)));
                Peer other = Peer.to(controller.address)) {
            Runnable dial = held.poll(20, TimeUnit.SECONDS);
            Peer gone = Peer.to(controller.address);
            gone.send(Peer.setUp(1, 0));
            controller.awaitCount(Counters.Name.ATTEMPTS, 1);
            gone.close();
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            dial.run();
            try (Peer server = Peer.at(listening)) {
                other.send(Peer.setUp(2, 0));
                server.next(Message.SET_UP, 2);
            }
        }
    }

    @Test
    void aCallerThatGoesInItsReleaseWaitIsNotSentOn() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer other = Peer.to(controller.address)) {
            Peer gone = Peer.to(controller.address);
            try (Peer first = Peer.at(listening)) {
                gone.send(Peer.setUp(1, 0));
                first.next(Message.SET_UP, 1);
            }
            controller.awaitCount(Counters.Name.ATTEMPTS_RESET, 1);
            gone.close();
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            other.send(Peer.setUp(2, 0));
            try (Peer second = Peer.at(listening)) {
                second.next(Message.SET_UP, 2);
            }
        }
    }
}
