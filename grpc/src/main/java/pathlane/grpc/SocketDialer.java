package pathlane.grpc;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import pathlane.core.CloseReason;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/**
 * Sockets for the one connection to the event bus, with a thread that reads it: a driver without decisions, so that
 * the plug-in needs no transport library beside gRPC's. What is read is handed on in the given turn.
 */
final class SocketDialer implements Connector {

    private static final int READ = 8 * 1024;

    private final Executor turn;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    SocketDialer(Executor turn) {
        this.turn = turn;
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        Thread reader = new Thread(() -> run(address, timeout, protocol), "pathlane-bus");
        reader.setDaemon(true);
        reader.start();
    }

    private void run(InetSocketAddress address, Duration timeout, Protocol protocol) {
        CloseReason end = CloseReason.NOT_ATTEMPTED;
        Socket socket = new Socket();
        Line line = new Line(socket, address);
        open.add(socket);
        try (socket) {
            if (closed) {
                return;
            }
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) Math.max(1, timeout.toMillis()));
            end = CloseReason.RESET;
            turn.execute(() -> protocol.opened(line));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[READ];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                ByteBuffer bytes = ByteBuffer.wrap(Arrays.copyOf(buffer, read));
                turn.execute(() -> {
                    if (line.why == null) {
                        protocol.received(bytes);
                    }
                });
            }
            end = CloseReason.CLOSED_BY_PEER;
        } catch (SocketTimeoutException e) {
            end = CloseReason.CONNECT_TIMED_OUT;
        } catch (ConnectException e) {
            end = CloseReason.REFUSED;
        } catch (IOException e) {
            // it broke, or could not be tried: as noted so far
        } finally {
            open.remove(socket);
            CloseReason last = end;
            turn.execute(() -> {
                if (!closed) {
                    protocol.closed(line.why != null ? line.why : last);
                }
            });
        }
    }

    /** Closes everything; nothing is heard of it any more. */
    void close() {
        closed = true;
        open.forEach(SocketDialer::closeQuietly);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is of no use any more either way
        }
    }

    private static final class Line implements Connection {

        private final Socket socket;
        private final InetSocketAddress address;
        private volatile CloseReason why;

        Line(Socket socket, InetSocketAddress address) {
            this.socket = socket;
            this.address = address;
        }

        @Override
        public void write(byte[] bytes) {
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                closeQuietly(socket);
            }
        }

        @Override
        public void close(CloseReason end) {
            why = why == null ? end : why;
            closeQuietly(socket);
        }

        @Override
        public String remote() {
            return address.toString();
        }
    }
}
