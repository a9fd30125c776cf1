package pathlane.crossings;

import java.net.ServerSocket;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/** The event bus reports that a server drains while a call request is on its way there: it must go to another server. */
class DrainTest {

    private static final int RECORD_BYTES = 27;

    @Test
    void aCallRequestReadTogetherWithADrainEventGoesToAnotherServer() throws Exception {
        try (ServerSocket one = Peer.server(); ServerSocket two = Peer.server(); ServerSocket bus = Peer.server();
                Controller controller = new Controller(Controller.config("", "", one, two).replace("\"known\"",
                        "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\""));
                Peer draining = Peer.at(one); Peer running = Peer.at(two); Peer busPeer = Peer.at(bus);
                Peer client = Peer.to(controller.address)) {
            client.awaitTestPassed();
            controller.whileBlocked(() -> {
                client.send(Peer.callRequest(1, 0));
                byte[] event = drainEvent(2, one.getLocalPort());
                busPeer.sendBytes(event, 0, event.length);
            });
            running.next(Message.CALL_REQUEST, 1);
            running.send(Peer.answer(1));
            client.next(Message.ANSWER, 1);
            controller.awaitCount(Counters.Name.ESTABLISHED, 1);
            draining.close();
        }
    }

    @Test
    void aCallRequestThatWaitsForAConnectionToADrainingServerGoesToAnotherServer() throws Exception {
        try (ServerSocket two = Peer.server(); ServerSocket bus = Peer.server(); ServerSocket one = Peer.server()) {
            // Server 1 accepts no connection: an attempt to it stays pending.
            try (Controller controller = new Controller(Controller.config("", "", one, two).replace("\"known\"",
                    "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\""),
                    connector -> (address, timeout, protocol) -> {
                        if (address.getPort() != one.getLocalPort()) {
                            connector.connect(address, timeout, protocol);
                        }
                    });
                    Peer running = Peer.at(two); Peer busPeer = Peer.at(bus); Peer client = Peer.to(controller.address)) {
                client.send(Peer.callRequest(1, 0));
                controller.awaitCount(Counters.Name.ATTEMPTS, 1);
                byte[] event = drainEvent(2, one.getLocalPort());
                busPeer.sendBytes(event, 0, event.length);
                running.next(Message.CALL_REQUEST, 1);
            }
        }
    }

    /** Returns an event that sets server 1 to draining. */
    private static byte[] drainEvent(long number, int port) {
        return ByteBuffer.allocate(4 + 9 + RECORD_BYTES).putInt(9 + RECORD_BYTES).putLong(number).put((byte) 2).putInt(1)
                .put(new byte[] {127, 0, 0, 1}).putShort((short) port).put((byte) 1).putShort((short) 0)
                .putShort((short) 0).putInt(1000).putLong(0).array();
    }
}
