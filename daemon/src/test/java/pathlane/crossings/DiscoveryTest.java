package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.ProgressReport;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.Revision;
import pathlane.discovery.Source;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.transport.RateLimitedLog;
import pathlane.wire.Cause;
import pathlane.wire.Message;

/** The program with {@code --discovery}, a source in this process, and session servers that a test drives. */
class DiscoveryTest {

    private static final String KEYS = "k1 000102030405060708090a0b0c0d0e0f";
    private static final long MOST_WAIT_S = 20;
    private static final int MOST_CONNECTIONS = 16;
    private static final int MOST_UNWRITTEN = 1 << 20;

    @TempDir
    Path folder;

    private final EventLoop loop = new EventLoop();
    private final Source source = onLoop(() -> new Source(1, PublisherTerms.USUAL, new AuthenticatedLink.Context("source",
            () -> KeyRing.read(KEYS), () -> new byte[16], loop, new RateLimitedLog("source", loop)), loop,
            new SplittableRandom(1)));

    private <T> T onLoop(Supplier<T> task) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> done.complete(task.get()));
        return done.orTimeout(MOST_WAIT_S, TimeUnit.SECONDS).join();
    }

    private Revision endpoint(String service, long id, ServerSocket server, ServerStatus mode) {
        ServerEndpoint line = new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", server.getLocalPort()), mode, 0, 1,
                Instant.EPOCH);
        return onLoop(() -> source.catalogue().update(service, List.of(line), List.of(), Optional.empty()));
    }

    /** Waits until the one controller has acknowledged so much. */
    private void awaitInForce(Revision revision) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        while (true) {
            List<ProgressReport.Level> levels = onLoop(() -> source.publisher().progress()).levels();
            if (levels.size() == 1 && !revision.isAfter(levels.get(0).inForce())) {
                return;
            }
            assertTrue(System.nanoTime() < until, () -> revision + " never came into force, but " + levels);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private Path file() throws Exception {
        InetSocketAddress address = new Network(loop).listen(new InetSocketAddress("127.0.0.1", 0), source::accept,
                MOST_CONNECTIONS, MOST_UNWRITTEN);
        Files.writeString(folder.resolve("keys"), KEYS);
        return Files.writeString(folder.resolve("discovery.toml"), """
                zone = "a"
                region = "east"
                keys = "keys"
                [[publishers]]
                name = "source"
                address = "127.0.0.1:%d"
                [services]
                billing = [0, 2]
                mail = [1]
                """.formatted(address.getPort()));
    }

    @Test
    void callsGoToTheServersOfTheirOwnServiceAndToNoneThatDrains() throws Exception {
        try (ServerSocket one = Peer.server(); ServerSocket two = Peer.server(); ServerSocket mail = Peer.server()) {
            endpoint("billing", 1, one, ServerStatus.RUNNING);
            endpoint("mail", 9, mail, ServerStatus.RUNNING);
            onLoop(() -> {
                source.catalogue().complete();
                return true;
            });
            try (Program program = Program.discovering(folder, Controller.config("", ""), file());
                    Peer caller = Peer.to(program.address())) {
                program.awaitLine("services are watched at source");
                caller.send(Peer.setUp(1, 0));
                Peer first = Peer.at(one);
                stands(caller, first, 1);
                awaitInForce(endpoint("billing", 2, two, ServerStatus.RUNNING));
                awaitInForce(endpoint("billing", 1, one, ServerStatus.DRAINING));
                Peer second = Peer.at(two);
                for (int call = 2; call < 12; call++) {
                    caller.send(Peer.setUp(call, call % 2 * 2));
                    stands(caller, second, call);
                }
                caller.send(Peer.setUp(20, 1));
                stands(caller, Peer.at(mail), 20);
                caller.send(Peer.setUp(30, 7));
                assertEquals(Cause.FAILED, caller.next(Message.RELEASE, 30).cause());
                first.send(Peer.release(1));   // a call that stood at a server that drains ends as usual
                caller.next(Message.RELEASE, 1);
            }
        } finally {
            loop.close();
        }
    }

    private static void stands(Peer caller, Peer server, long call) throws Exception {
        server.next(Message.SET_UP, call);
        server.send(Peer.answer(call));
        caller.next(Message.ANSWER, call);
    }
}
