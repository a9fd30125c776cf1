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
import pathlane.transport.Connection.CancelResult;
import pathlane.transport.Protocol;
import pathlane.wire.Message;

/** Writes to a real socket whose remote side does not read: when they are sent, and which can still be cancelled. */
class WriteCancellationTest {

    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final int MESSAGE_BYTES = 15_000;
    private static final int MAX_MESSAGES = 2_000;
    /** Together a multiple of what may be unsent on one connection. */
    private static final int BURST_MESSAGES = 20;

    /** Publishes the opening and the closing of a connection as futures. */
    private static final class ObservedProtocol implements Protocol {
        final CompletableFuture<Connection> opened = new CompletableFuture<>();
        final CompletableFuture<CloseReason> closed = new CompletableFuture<>();

        @Override
        public void opened(Connection connection) {
            opened.complete(connection);
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(CloseReason reason) {
            closed.complete(reason);
        }
    }

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void aMessageQueuedBehindABlockedOneCanBeCancelled() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            ObservedProtocol observed = connect(listening);
            try (Peer peer = Peer.at(listening)) {
                byte[] wanted = Peer.release(3).bytes();
                int[] sent = new int[1];
                assertEquals(CancelResult.CANCELLED, onEventLoop(observed, connection -> {
                    while (!connection.isBlocked()) {
                        sent[0]++;
                        assertTrue(sent[0] < MAX_MESSAGES, "the connection does not block");
                        connection.write(new Message(Message.PROGRESS, 1).with(1, new byte[MESSAGE_BYTES]).bytes());
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
                assertEquals(CancelResult.SENT, onEventLoop(observed, connection -> connection.cancelWrite(wanted)));
            }
        }
    }

    /** Guards against the abort of a connection for what is written in one turn and was never offered to the socket. */
    @Test
    void aBurstInOneTurnReachesAPeerThatReads() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            ObservedProtocol observed = connect(listening);
            try (Peer peer = Peer.at(listening)) {
                onEventLoop(observed, connection -> {
                    for (int i = 0; i < BURST_MESSAGES; i++) {
                        connection.write(new Message(Message.PROGRESS, i).with(1, new byte[MESSAGE_BYTES]).bytes());
                    }
                    return null;
                });
                for (int i = 0; i < BURST_MESSAGES; i++) {
                    peer.next(Message.PROGRESS, i);
                }
            }
        }
    }

    @Test
    void aConnectionWhosePeerReadsNothingIsAborted() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            ObservedProtocol observed = connect(listening);
            try (Peer peer = Peer.at(listening)) {
                onEventLoop(observed, connection -> {
                    for (int i = 0; i < MAX_MESSAGES && !observed.closed.isDone(); i++) {
                        connection.write(new Message(Message.PROGRESS, i).with(1, new byte[MESSAGE_BYTES]).bytes());
                    }
                    return null;
                });
                assertEquals(CloseReason.OVERFLOW, observed.closed.get(20, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void aFlushedMessageIsSentWithinTheEventLoopTurn() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            ObservedProtocol observed = connect(listening);
            CountDownLatch read = new CountDownLatch(1);
            try (Peer peer = Peer.at(listening)) {
                CompletableFuture<Boolean> turn = new CompletableFuture<>();
                Connection connection = observed.opened.get(20, TimeUnit.SECONDS);
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
                assertTrue(turn.get(20, TimeUnit.SECONDS), "received only after the event loop turn");
            }
        }
    }

    @Test
    void anAbortedConnectionSendsNothingMore() throws Exception {
        try (ServerSocket listening = Peer.server()) {
            ObservedProtocol observed = connect(listening);
            try (Peer peer = Peer.at(listening)) {
                onEventLoop(observed, connection -> {
                    connection.write(Peer.release(1).bytes());
                    connection.abort(CloseReason.OVERTAKEN);
                    return null;
                });
                assertEquals(CloseReason.OVERTAKEN, observed.closed.get(20, TimeUnit.SECONDS));
                peer.awaitEnd();
            }
        }
    }

    private ObservedProtocol connect(ServerSocket listening) {
        ObservedProtocol observed = new ObservedProtocol();
        network.connect(new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()),
                Duration.ofSeconds(20), observed);
        return observed;
    }

    private interface Step<T> {
        T apply(Connection connection);
    }

    private <T> T onEventLoop(ObservedProtocol observed, Step<T> step) throws Exception {
        Connection connection = observed.opened.get(20, TimeUnit.SECONDS);
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(step.apply(connection));
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(20, TimeUnit.SECONDS);
    }
}
