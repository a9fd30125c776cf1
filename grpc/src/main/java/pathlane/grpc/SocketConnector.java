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
 * Connects to the event bus over a plain socket with a reader thread, so that the plug-in needs no transport library
 * besides gRPC's. Callbacks run on the given executor.
 */
final class SocketConnector implements Connector {

    private static final int READ_BUFFER_BYTES = 8 * 1024;

    private final Executor callbackExecutor;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    SocketConnector(Executor callbackExecutor) {
        this.callbackExecutor = callbackExecutor;
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        Thread reader = new Thread(() -> run(address, timeout, protocol), "pathlane-bus");
        reader.setDaemon(true);
        reader.start();
    }

    private void run(InetSocketAddress address, Duration timeout, Protocol protocol) {
        CloseReason reason = CloseReason.NOT_ATTEMPTED;
        Socket socket = new Socket();
        SocketConnection connection = new SocketConnection(socket, address);
        openSockets.add(socket);
        try (socket) {
            if (closed) {
                return;
            }
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) Math.max(1, timeout.toMillis()));
            reason = CloseReason.RESET;
            callbackExecutor.execute(() -> protocol.opened(connection));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                ByteBuffer bytes = ByteBuffer.wrap(Arrays.copyOf(buffer, read));
                callbackExecutor.execute(() -> {
                    if (connection.closeReason == null) {
                        protocol.received(bytes);
                    }
                });
            }
            reason = CloseReason.CLOSED_BY_PEER;
        } catch (SocketTimeoutException e) {
            reason = CloseReason.CONNECT_TIMED_OUT;
        } catch (ConnectException e) {
            reason = CloseReason.REFUSED;
        } catch (IOException e) {
            // the reason set so far applies: NOT_ATTEMPTED before the connection was open, RESET after that
        } finally {
            openSockets.remove(socket);
            CloseReason finalReason = reason;
            callbackExecutor.execute(() -> {
                if (!closed) {
                    protocol.closed(connection.closeReason != null ? connection.closeReason : finalReason);
                }
            });
        }
    }

    /** Closes all sockets; no callback follows. */
    void close() {
        closed = true;
        openSockets.forEach(SocketConnector::closeQuietly);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket is discarded in any case
        }
    }

    private static final class SocketConnection implements Connection {

        private final Socket socket;
        private final InetSocketAddress address;
        private volatile CloseReason closeReason;

        SocketConnection(Socket socket, InetSocketAddress address) {
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
        public void close(CloseReason reason) {
            closeReason = closeReason == null ? reason : closeReason;
            closeQuietly(socket);
        }

        @Override
        public String remote() {
            return address.toString();
        }
    }
}
