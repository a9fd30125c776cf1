package pathlane.lab.rig;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import pathlane.core.CloseReason;
import pathlane.lab.Faults;
import pathlane.lab.FaultyConnection;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * Inserts a {@link FaultyConnection} with its faults between the sockets of two processes, or between a socket and a
 * simulated party
 * of the test bed. Runs on the test bed's event loop.
 */
final class Relay {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final RigLoop loop;
    private final Faults faults;

    Relay(RigLoop loop, Faults faults) {
        this.loop = loop;
        this.faults = faults;
    }

    /** For a listening port: forwards connections from the party of this name to another process. */
    Protocol forward(String from, String to, InetSocketAddress target) {
        return new PendingConnection(first -> Optional.of(from), to, target);
    }

    /** The same for connections whose first bytes identify the party. */
    Protocol forward(Function<byte[], Optional<String>> from, String to, InetSocketAddress target) {
        return new PendingConnection(from, to, target);
    }

    /** For a listening port: forwards connections from a process to a simulated party. */
    Protocol forwardTo(String from, String to, Protocol standIn) {
        Junction junction = new Junction();
        return junction
                .socketSide(() -> new FaultyConnection(loop, faults, Duration.ZERO, from, junction.pathSide(), to, standIn));
    }

    /** Connects a simulated party to a process. */
    void connect(String from, Protocol standIn, String to, InetSocketAddress target) {
        Junction junction = new Junction();
        loop.connect(target, CONNECT_TIMEOUT, junction.socketSide(
                () -> new FaultyConnection(loop, faults, Duration.ZERO, from, standIn, to, junction.pathSide()),
                end -> standIn.closed(end)));
    }

    /** Connects one socket to one end of a path. */
    private static final class Junction {

        private Connection socket;
        private Connection path;
        private CloseReason socketCloseReason;

        Protocol socketSide(Runnable opened) {
            return socketSide(opened, end -> {});
        }

        Protocol socketSide(Runnable opened, java.util.function.Consumer<CloseReason> connectFailed) {
            return new Protocol() {
                @Override
                public void opened(Connection up) {
                    socket = up;
                    opened.run();
                }

                @Override
                public void received(ByteBuffer bytes) {
                    byte[] copy = new byte[bytes.remaining()];
                    bytes.get(copy);
                    path.write(copy);
                }

                @Override
                public void closed(CloseReason end) {
                    socketCloseReason = end;
                    if (path != null) {
                        path.close(end);
                    } else {
                        connectFailed.accept(end);
                    }
                }
            };
        }

        Protocol pathSide() {
            return new Protocol() {
                @Override
                public void opened(Connection up) {
                    path = up;
                }

                @Override
                public void received(ByteBuffer bytes) {
                    byte[] copy = new byte[bytes.remaining()];
                    bytes.get(copy);
                    socket.write(copy);
                }

                @Override
                public void closed(CloseReason end) {
                    if (socketCloseReason == null) {
                        socket.close(end);
                    }
                }
            };
        }
    }

    /** An incoming connection, buffered until its party is identified and the target is connected. */
    private final class PendingConnection implements Protocol {

        private final Function<byte[], Optional<String>> from;
        private final String to;
        private final InetSocketAddress target;
        private final List<byte[]> buffered = new ArrayList<>();
        private final Junction near = new Junction();
        private final Protocol onSocket = near.socketSide(() -> {});
        private boolean isConnecting;
        private boolean isJoined;
        private boolean isClosed;

        PendingConnection(Function<byte[], Optional<String>> from, String to, InetSocketAddress target) {
            this.from = from;
            this.to = to;
            this.target = target;
        }

        @Override
        public void opened(Connection up) {
            onSocket.opened(up);
            connectIfIdentified();
        }

        private byte[] bufferedBytes() {
            ByteBuffer all = ByteBuffer.allocate(buffered.stream().mapToInt(part -> part.length).sum());
            buffered.forEach(all::put);
            return all.array();
        }

        private void connectIfIdentified() {
            Optional<String> name = isConnecting ? Optional.empty() : from.apply(bufferedBytes());
            if (name.isEmpty()) {
                return;
            }
            isConnecting = true;
            Junction far = new Junction();
            loop.connect(target, CONNECT_TIMEOUT, far.socketSide(() -> {
                if (isClosed) {
                    far.socket.close(CloseReason.RESET);
                    return;
                }
                new FaultyConnection(loop, faults, Duration.ZERO, name.get(), near.pathSide(), to, far.pathSide());
                isJoined = true;
                buffered.forEach(part -> onSocket.received(ByteBuffer.wrap(part)));
                buffered.clear();
            }, end -> near.socket.close(CloseReason.RESET)));
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (isJoined) {
                onSocket.received(bytes);
            } else {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                buffered.add(copy);
                connectIfIdentified();
            }
        }

        @Override
        public void closed(CloseReason end) {
            isClosed = true;
            onSocket.closed(end);
        }
    }
}
