package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pathlane.core.Scheduler;

/** Servers from the event bus, over a socket on loopback. */
class BusResolverTest {

    /** An event bus that sends the test's events, and records the event number that each connection requests. */
    private static final class FakeEventBus implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        private final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> requestedEvents = new LinkedBlockingQueue<>();

        FakeEventBus() throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listening.accept();
                        requestedEvents.add(new DataInputStream(socket.getInputStream()).readLong());
                        connections.add(socket);
                    }
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        Socket connection() throws InterruptedException {
            Socket socket = connections.poll(20, TimeUnit.SECONDS);
            assertTrue(socket != null, "no connection to the event bus");
            return socket;
        }

        static void send(Socket to, long number, int kind, byte[]... records) throws IOException {
            DataOutputStream out = new DataOutputStream(to.getOutputStream());
            out.writeInt(9 + 27 * records.length);
            out.writeLong(number);
            out.writeByte(kind);
            for (byte[] record : records) {
                out.write(record);
            }
            out.flush();
        }

        static byte[] record(int id, int port, int state) {
            return ByteBuffer.allocate(27).putInt(id).put(new byte[] {127, 0, 0, 1}).putShort((short) port)
                    .put((byte) state).put((byte) 0).put((byte) 0).putShort((short) id).putInt(1000).putLong(0).array();
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    private static void call(ManagedChannel channel) {
        ClientCalls.blockingUnaryCall(channel, pathlane.standin.GrpcSessionServer.CHECK,
                CallOptions.DEFAULT.withWaitForReady(), new byte[] {1});
    }

    @Test
    void busEventsAreFollowedAndResumedFromLast() throws Exception {
        try (FakeEventBus bus = new FakeEventBus(); ScriptedHttp2Server first = new ScriptedHttp2Server();
                ScriptedHttp2Server second = new ScriptedHttp2Server();
                Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build()) {
            ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget("pathlane-bus:///127.0.0.1:"
                    + bus.listening.getLocalPort()).usePlaintext()).build();
            try {
                channel.getState(true);
                Socket socket = bus.connection();
                assertEquals(0L, bus.requestedEvents.poll());
                int firstPort = Integer.parseInt(first.target().substring("127.0.0.1:".length()));
                int secondPort = Integer.parseInt(second.target().substring("127.0.0.1:".length()));
                FakeEventBus.send(socket, 1, 1, FakeEventBus.record(1, firstPort, 0));
                call(channel);
                assertEquals(1, first.arrivals.size());
                FakeEventBus.send(socket, 2, 2, FakeEventBus.record(1, firstPort, 1), FakeEventBus.record(2, secondPort, 0));
                awaitList(pathlane, 2);
                for (int i = 0; i < 5; i++) {
                    call(channel);
                }
                assertEquals(1, first.arrivals.size(), "sent to a draining server");
                assertEquals(5, second.arrivals.size());
                socket.close();
                bus.connection();
                assertEquals(2L, bus.requestedEvents.poll(20, TimeUnit.SECONDS));
            } finally {
                channel.shutdownNow();
            }
        }
    }

    /** Waits until the controller's list has the given number of servers, with a limit on the time. */
    private static void awaitList(Pathlane pathlane, int servers) throws Exception {
        Scheduler time = pathlane.engine().scheduler();
        for (int i = 0; i < 2000; i++) {
            java.util.concurrent.CompletableFuture<Integer> kept = new java.util.concurrent.CompletableFuture<>();
            time.after(java.time.Duration.ofMillis(10), () -> kept.complete(pathlane.engine().listedServerCount()));
            if (kept.get(20, TimeUnit.SECONDS) >= servers) {
                return;
            }
        }
        throw new AssertionError("the controller's list was not updated");
    }

    @Test
    void targetWithoutBusAddressIsRejected() {
        Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build();
        IllegalArgumentException error = assertThrows(IllegalArgumentException.class, () -> pathlane.attach(
                NettyChannelBuilder.forTarget("pathlane-bus:///nowhere").usePlaintext()).build());
        assertTrue(error.getMessage().contains("names no event bus"), error.getMessage());
        pathlane.close();
    }
}
