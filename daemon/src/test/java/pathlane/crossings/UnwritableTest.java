package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.transport.Connection;
import pathlane.transport.Connection.Withdrawal;
import pathlane.transport.Protocol;
import pathlane.wire.Message;

/** What is written to a real socket whose other side does not read, and when it leaves. */
class UnwritableTest {

    private static final int SMALL_BUFFER = 4096;
    private static final int LONG = 15_000;
    private static final int MOST_MESSAGES = 2_000;

    /** Hands on what becomes of the connection. */
    private static final class Watched implements Protocol {
        final CompletableFuture<Connection> up = new CompletableFuture<>();
        final CompletableFuture<CloseReason> end = new CompletableFuture<>();

        @Override
        public void opened(Connection connection) {
            up.complete(connection);
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(CloseReason why) {
            end.complete(why);
        }
    }

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void aMessageBehindOneThatCantLeaveIsTakenBack() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            listening.setReceiveBufferSize(SMALL_BUFFER);
            Watched watched = dial(listening);
            try (Peer peer = Peer.at(listening)) {
                byte[] wanted = Peer.release(3).bytes();
                int[] sent = new int[1];
                assertEquals(Withdrawal.WITHDRAWN, inTurn(watched, connection -> {
                    while (!connection.isBlocked()) {
                        sent[0]++;
                        assertTrue(sent[0] < MOST_MESSAGES, "the other side's buffer has no end");
                        connection.write(new Message(Message.PROGRESS, 1).with(1, new byte[LONG]).bytes());
                        connection.flush();
                    }
                    byte[] unwanted = Peer.release(2).bytes();
                    connection.write(unwanted);
                    connection.write(wanted);
                    connection.flush();
                    return connection.cancelWrite(unwanted);
                }));
                for (int i = 0; i < sent[0]; i++) {
                    peer.next(Message.PROGRESS, 1);
                }
                peer.next(Message.RELEASE, 3);
                assertEquals(Withdrawal.LEFT, inTurn(watched, connection -> connection.cancelWrite(wanted)));
            }
        }
    }

    @Test
    void aFlushedMessageLeavesWithinTheTurn() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            Watched watched = dial(listening);
            CountDownLatch read = new CountDownLatch(1);
            try (Peer peer = Peer.at(listening)) {
                CompletableFuture<Boolean> turn = new CompletableFuture<>();
                Connection connection = watched.up.get(20, TimeUnit.SECONDS);
                loop.execute(() -> {
                    connection.write(Peer.release(1).bytes());
                    connection.flush();
                    try {
                        turn.complete(read.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        turn.completeExceptionally(e);
                    }
                });
                peer.next(Message.RELEASE, 1);
                read.countDown();
                assertTrue(turn.get(20, TimeUnit.SECONDS), "read only after the turn");
            }
        }
    }

    @Test
    void aConnectionThatIsBrokenOffSendsNothingMore() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            Watched watched = dial(listening);
            try (Peer peer = Peer.at(listening)) {
                inTurn(watched, connection -> {
                    connection.write(Peer.release(1).bytes());
                    connection.abort(CloseReason.OVERTAKEN);
                    return null;
                });
                assertEquals(CloseReason.OVERTAKEN, watched.end.get(20, TimeUnit.SECONDS));
                peer.awaitEnd();
            }
        }
    }

    private Watched dial(ServerSocket listening) {
        Watched watched = new Watched();
        network.connect(new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()),
                Duration.ofSeconds(20), watched);
        return watched;
    }

    private interface Step<T> {
        T on(Connection connection);
    }

    private <T> T inTurn(Watched watched, Step<T> step) throws Exception {
        Connection connection = watched.up.get(20, TimeUnit.SECONDS);
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(step.on(connection));
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(20, TimeUnit.SECONDS);
    }
}
