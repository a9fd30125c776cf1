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

/** Runs the program with {@code --discovery}, a publisher in this process and session servers that the test controls. */
class DiscoveryTest {

    private static final String KEYS = "k1 000102030405060708090a0b0c0d0e0f";
    private static final long TIMEOUT_S = 20;
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    @TempDir
    Path folder;

    private final EventLoop loop = new EventLoop();
    private final Source source = onLoop(() -> new Source(1, PublisherTerms.DEFAULTS, new AuthenticatedLink.Context("source",
            () -> KeyRing.read(KEYS), () -> new byte[16], loop, new RateLimitedLog("source", loop)), loop,
            new SplittableRandom(1)));

    private <T> T onLoop(Supplier<T> task) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> done.complete(task.get()));
        return done.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    private Revision publishEndpoint(String service, long id, ServerSocket server, ServerStatus status) {
        ServerEndpoint endpoint =
                new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", server.getLocalPort()), status, 0, 1,
                        Instant.EPOCH);
        return onLoop(() -> source.catalogue().update(service, List.of(endpoint), List.of(), Optional.empty()));
    }

    /** Waits until the only subscriber has acknowledged this revision. */
    private void awaitAcknowledged(Revision revision) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (true) {
            List<ProgressReport.Level> levels = onLoop(() -> source.publisher().progress()).levels();
            if (levels.size() == 1 && !revision.isAfter(levels.get(0).inForce())) {
                return;
            }
            assertTrue(System.nanoTime() < deadline, () -> revision + " was not acknowledged; progress: " + levels);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private Path file() throws Exception {
        InetSocketAddress address = new Network(loop).listen(new InetSocketAddress("127.0.0.1", 0), source::accept,
                MAX_CONNECTIONS, MAX_UNWRITTEN_BYTES);
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
    void callsGoToRunningServersOfTheirOwnServiceOnly() throws Exception {
        try (ServerSocket one = Peer.server(); ServerSocket two = Peer.server(); ServerSocket mail = Peer.server()) {
            publishEndpoint("billing", 1, one, ServerStatus.RUNNING);
            publishEndpoint("mail", 9, mail, ServerStatus.RUNNING);
            onLoop(() -> {
                source.catalogue().complete();
                return true;
            });
            try (Program program = Program.withDiscovery(folder, Controller.config("", ""), file());
                    Peer client = Peer.to(program.address())) {
                program.awaitLine("services are watched at source");
                client.send(Peer.callRequest(1, 0));
                Peer first = Peer.at(one);
                establish(client, first, 1);
                awaitAcknowledged(publishEndpoint("billing", 2, two, ServerStatus.RUNNING));
                awaitAcknowledged(publishEndpoint("billing", 1, one, ServerStatus.DRAINING));
                Peer second = Peer.at(two);
                for (int call = 2; call < 12; call++) {
                    client.send(Peer.callRequest(call, call % 2 * 2));
                    establish(client, second, call);
                }
                client.send(Peer.callRequest(20, 1));
                establish(client, Peer.at(mail), 20);
                client.send(Peer.callRequest(30, 7));
                assertEquals(Cause.FAILED, client.next(Message.RELEASE, 30).cause());
                first.send(Peer.release(1));   // a call established at a draining server ends as usual
                client.next(Message.RELEASE, 1);
            }
        } finally {
            loop.close();
        }
    }

    private static void establish(Peer client, Peer server, long call) throws Exception {
        server.next(Message.CALL_REQUEST, call);
        server.send(Peer.answer(call));
        client.next(Message.ANSWER, call);
    }
}
