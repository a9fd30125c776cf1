package pathlane.crossings;

import java.net.ServerSocket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/**
 * A client disconnects or cancels while its call request is being processed: the request must not reach a session server any
 * more, or a call would be established there that nobody releases.
 */
class ClientDisconnectTest {

    @Test
    void aCloseThatIsReadTogetherWithTheCallRequestIsHandledBeforeTheRequestIsSent() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address)) {
            Peer leaving = Peer.to(controller.address);
            leaving.awaitTestPassed();
            other.awaitTestPassed();
            controller.whileBlocked(() -> {
                leaving.send(Peer.callRequest(1, 0));
                leaving.close();
            });
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            other.send(Peer.callRequest(2, 0));
            server.next(Message.CALL_REQUEST, 2);
        }
    }

    @Test
    void aHalfCloseIsHandledAsAClose() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer other = Peer.to(controller.address);
                Peer leaving = Peer.to(controller.address)) {
            leaving.awaitTestPassed();
            other.awaitTestPassed();
            controller.whileBlocked(() -> {
                leaving.send(Peer.callRequest(1, 0));
                leaving.closeOutput();
            });
            leaving.awaitEnd();
            other.send(Peer.callRequest(2, 0));
            server.next(Message.CALL_REQUEST, 2);
        }
    }

    @Test
    void aCancellationThatIsReadTogetherWithTheCallRequestStopsIt() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer server = Peer.at(listening); Peer client = Peer.to(controller.address)) {
            client.send(Peer.callRequest(1, 0), Peer.release(1), Peer.callRequest(2, 0));
            server.next(Message.CALL_REQUEST, 2);
        }
    }

    @Test
    void aCallRequestThatWaitsForAConnectionAttemptIsDropped() throws Exception {
        BlockingQueue<Runnable> heldAttempts = new ArrayBlockingQueue<>(8);
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening),
                        connector -> (address, timeout, protocol) -> heldAttempts
                                .add(() -> connector.connect(address, timeout, protocol)));
                Peer other = Peer.to(controller.address)) {
            Runnable attempt = heldAttempts.poll(20, TimeUnit.SECONDS);
            Peer leaving = Peer.to(controller.address);
            leaving.send(Peer.callRequest(1, 0));
            controller.awaitCount(Counters.Name.ATTEMPTS, 1);
            leaving.close();
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            attempt.run();
            try (Peer server = Peer.at(listening)) {
                other.send(Peer.callRequest(2, 0));
                server.next(Message.CALL_REQUEST, 2);
            }
        }
    }

    @Test
    void aCallWhoseClientDisconnectsDuringTheRetryDelayIsNotRetried() throws Exception {
        try (ServerSocket listening = Peer.server();
                Controller controller = new Controller(Controller.config("", "", listening));
                Peer other = Peer.to(controller.address)) {
            Peer leaving = Peer.to(controller.address);
            try (Peer first = Peer.at(listening)) {
                leaving.send(Peer.callRequest(1, 0));
                first.next(Message.CALL_REQUEST, 1);
            }
            controller.awaitCount(Counters.Name.ATTEMPTS_RESET, 1);
            leaving.close();
            controller.awaitCount(Counters.Name.GIVEN_UP_BY_CLIENT, 1);
            other.send(Peer.callRequest(2, 0));
            try (Peer second = Peer.at(listening)) {
                second.next(Message.CALL_REQUEST, 2);
            }
        }
    }
}
