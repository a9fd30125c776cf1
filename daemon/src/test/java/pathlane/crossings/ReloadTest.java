package pathlane.crossings;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.wire.Message;

/** SIGHUP during open calls, with the program in a separate process: a reload must not disturb the calls. */
class ReloadTest {

    /** An event bus heartbeat: length 9, number of the last event, kind 0. */
    private static final byte[] HEARTBEAT = {0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0};

    @TempDir
    Path folder;

    @Test
    void aReloadMovesTheEventBusOnlyAndDisturbsNoOpenCall() throws Exception {
        try (ServerSocket listening = Peer.server(); ServerSocket oldBus = Peer.server();
                ServerSocket newBus = Peer.server()) {
            String config = Controller.config("", "", listening).replace("\"known\"",
                    "\"bus\": \"127.0.0.1:" + oldBus.getLocalPort() + "\", \"known\"");
            try (Program program = Program.startWithoutWaiting(folder, config); Peer oldPeer = Peer.at(oldBus)) {
                oldPeer.sendBytes(HEARTBEAT, 0, HEARTBEAT.length);
                program.awaitServes();
                try (Peer server = Peer.at(listening); Peer client = Peer.to(program.address())) {
                    client.send(Peer.callRequest(1, 0));
                    server.next(Message.CALL_REQUEST, 1);
                    oldPeer.sendBytes(HEARTBEAT, 0, HEARTBEAT.length / 2);   // a partly read frame
                    Files.writeString(folder.resolve("config.json"), "{\"name\": \"n1\"");
                    program.signal("HUP");
                    program.awaitLine("the old one stays");
                    // The new file lacks the class of the open call and the old address of the event bus.
                    Files.writeString(folder.resolve("config.json"), config.replace("\"plain\"", "\"other-2\"")
                            .replace("127.0.0.1:" + oldBus.getLocalPort(), "127.0.0.1:" + newBus.getLocalPort()));
                    program.signal("HUP");
                    program.awaitLine("configuration read again");
                    try (Peer newPeer = Peer.at(newBus)) {
                        newPeer.sendBytes(HEARTBEAT, 0, HEARTBEAT.length);
                        server.send(Peer.answer(1));
                        client.next(Message.ANSWER, 1);
                        client.send(Peer.callRequest(2, 0));
                        server.next(Message.CALL_REQUEST, 2);
                        server.send(Peer.answer(2));
                        client.next(Message.ANSWER, 2);
                    }
                }
            }
        }
    }
}
