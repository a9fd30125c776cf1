package pathlane.crossings;

import java.net.ServerSocket;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters;
import pathlane.wire.Message;

/** The list tells that a server drains while a set-up is on its way there. */
class DrainTest {

    private static final int RECORD = 27;

    @Test
    void aSetUpThatWaitedWithTheNewsOfADrainGoesElsewhere() throws Exception {
        try (ServerSocket one = Peer.server(); ServerSocket two = Peer.server(); ServerSocket bus = Peer.server();
                Controller controller = new Controller(Controller.config("", "", one, two).replace("\"known\"",
                        "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\""));
                Peer drains = Peer.at(one); Peer stays = Peer.at(two); Peer list = Peer.at(bus);
                Peer caller = Peer.to(controller.address)) {
            caller.awaitPassed();
            controller.whileBehind(() -> {
                caller.send(Peer.setUp(1, 0));
                byte[] event = draining(2, one.getLocalPort());
                list.sendBytes(event, 0, event.length);
            });
            stays.next(Message.SET_UP, 1);
            stays.send(Peer.answer(1));
            caller.next(Message.ANSWER, 1);
            controller.awaitCount(Counters.Name.ESTABLISHED, 1);
            drains.close();
        }
    }

    @Test
    void aSetUpThatWaitsForADialToAServerThatDrainsGoesElsewhere() throws Exception {
        try (ServerSocket two = Peer.server(); ServerSocket bus = Peer.server(); ServerSocket one = Peer.server()) {
            // Server 1 takes no more connections in: a dial to it stays under way.
            try (Controller controller = new Controller(Controller.config("", "", one, two).replace("\"known\"",
                    "\"bus\": \"127.0.0.1:" + bus.getLocalPort() + "\", \"known\""),
                    dialer -> (address, timeout, protocol) -> {
                        if (address.getPort() != one.getLocalPort()) {
                            dialer.connect(address, timeout, protocol);
                        }
                    });
                    Peer stays = Peer.at(two); Peer list = Peer.at(bus); Peer caller = Peer.to(controller.address)) {
                caller.send(Peer.setUp(1, 0));
                controller.awaitCount(Counters.Name.ATTEMPTS, 1);
                byte[] event = draining(2, one.getLocalPort());
                list.sendBytes(event, 0, event.length);
                stays.next(Message.SET_UP, 1);
            }
        }
    }

    /** An event by which server 1 drains. */
    private static byte[] draining(long number, int port) {
        return ByteBuffer.allocate(4 + 9 + RECORD).putInt(9 + RECORD).putLong(number).put((byte) 2).putInt(1)
                .put(new byte[] {127, 0, 0, 1}).putShort((short) port).put((byte) 1).putShort((short) 0)
                .putShort((short) 0).putInt(1000).putLong(0).array();
    }
}
