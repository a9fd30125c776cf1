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
import pathlane.lab.Path;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * Inserts a {@link Path} with its faults between the sockets of two processes, or between a socket and a simulated party
 * of the test bed. Runs on the test bed's event loop.
 */
final class Relay {

    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(2);

    private final RigLoop loop;
    private final Faults faults;

    Relay(RigLoop loop, Faults faults) {
        this.loop = loop;
        this.faults = faults;
    }

    /** For a listening port: forwards connections from the party of this name to another process. */
    Protocol between(String from, String to, InetSocketAddress target) {
        return new Begun(first -> Optional.of(from), to, target);
    }

    /** The same for connections whose first bytes identify the party. */
    Protocol between(Function<byte[], Optional<String>> from, String to, InetSocketAddress target) {
        return new Begun(from, to, target);
    }

    /** For a listening port: forwards connections from a process to a simulated party. */
    Protocol into(String from, String to, Protocol standIn) {
        Joint joint = new Joint();
        return joint.socketSide(() -> new Path(loop, faults, Duration.ZERO, from, joint.pathSide(), to, standIn));
    }

    /** Connects a simulated party to a process. */
    void out(String from, Protocol standIn, String to, InetSocketAddress target) {
        Joint joint = new Joint();
        loop.connect(target, DIAL_TIMEOUT, joint.socketSide(
                () -> new Path(loop, faults, Duration.ZERO, from, standIn, to, joint.pathSide()),
                end -> standIn.closed(end)));
    }

    /** Connects one socket to one end of a path. */
    private static final class Joint {

        private Connection socket;
        private Connection path;
        private CloseReason socketEnd;

        Protocol socketSide(Runnable opened) {
            return socketSide(opened, end -> {});
        }

        Protocol socketSide(Runnable opened, java.util.function.Consumer<CloseReason> neverUp) {
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
                    socketEnd = end;
                    if (path != null) {
                        path.close(end);
                    } else {
                        neverUp.accept(end);
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
                    if (socketEnd == null) {
                        socket.close(end);
                    }
                }
            };
        }
    }

    /** An incoming connection, buffered until its party is identified and the target is connected. */
    private final class Begun implements Protocol {

        private final Function<byte[], Optional<String>> from;
        private final String to;
        private final InetSocketAddress target;
        private final List<byte[]> before = new ArrayList<>();
        private final Joint near = new Joint();
        private final Protocol onSocket = near.socketSide(() -> {});
        private boolean dialled;
        private boolean joined;
        private boolean closed;

        Begun(Function<byte[], Optional<String>> from, String to, InetSocketAddress target) {
            this.from = from;
            this.to = to;
            this.target = target;
        }

        @Override
        public void opened(Connection up) {
            onSocket.opened(up);
            look();
        }

        private byte[] all() {
            ByteBuffer all = ByteBuffer.allocate(before.stream().mapToInt(part -> part.length).sum());
            before.forEach(all::put);
            return all.array();
        }

        private void look() {
            Optional<String> name = dialled ? Optional.empty() : from.apply(all());
            if (name.isEmpty()) {
                return;
            }
            dialled = true;
            Joint far = new Joint();
            loop.connect(target, DIAL_TIMEOUT, far.socketSide(() -> {
                if (closed) {
                    far.socket.close(CloseReason.RESET);
                    return;
                }
                new Path(loop, faults, Duration.ZERO, name.get(), near.pathSide(), to, far.pathSide());
                joined = true;
                before.forEach(part -> onSocket.received(ByteBuffer.wrap(part)));
                before.clear();
            }, end -> near.socket.close(CloseReason.RESET)));
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (joined) {
                onSocket.received(bytes);
            } else {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                before.add(copy);
                look();
            }
        }

        @Override
        public void closed(CloseReason end) {
            closed = true;
            onSocket.closed(end);
        }
    }
}
