package pathlane.crossings;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.wire.Message;

/** SIGHUP while calls are open, in a process of its own. */
class ReloadTest {

    /** A frame of the list that says nothing new: its length of 9, the number of the last event, kind 0. */
    private static final byte[] NOTHING_NEW = {0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0};

    @TempDir
    Path folder;

    @Test
    void aReloadMovesTheListAloneAndHarmsNoOpenCall() throws Exception {
        try (ServerSocket listening = Peer.server(); ServerSocket before = Peer.server();
                ServerSocket after = Peer.server()) {
            String config = Controller.config("", "", listening).replace("\"known\"",
                    "\"bus\": \"127.0.0.1:" + before.getLocalPort() + "\", \"known\"");
            try (Program program = Program.begun(folder, config); Peer old = Peer.at(before)) {
                old.sendBytes(NOTHING_NEW, 0, NOTHING_NEW.length);
                program.awaitServes();
                try (Peer server = Peer.at(listening); Peer caller = Peer.to(program.address())) {
                    caller.send(Peer.setUp(1, 0));
                    server.next(Message.SET_UP, 1);
                    old.sendBytes(NOTHING_NEW, 0, NOTHING_NEW.length / 2);   // a frame that is half read
                    Files.writeString(folder.resolve("config.json"), "{\"name\": \"n1\"");
                    program.signal("HUP");
                    program.awaitLine("the old one stays");
                    // The class of the open call is gone from the new file, and so is the old address of the list.
                    Files.writeString(folder.resolve("config.json"), config.replace("\"plain\"", "\"other-2\"")
                            .replace("127.0.0.1:" + before.getLocalPort(), "127.0.0.1:" + after.getLocalPort()));
                    program.signal("HUP");
                    program.awaitLine("configuration read again");
                    try (Peer list = Peer.at(after)) {
                        list.sendBytes(NOTHING_NEW, 0, NOTHING_NEW.length);
                        server.send(Peer.answer(1));
                        caller.next(Message.ANSWER, 1);
                        caller.send(Peer.setUp(2, 0));
                        server.next(Message.SET_UP, 2);
                        server.send(Peer.answer(2));
                        caller.next(Message.ANSWER, 2);
                    }
                }
            }
        }
    }
}
