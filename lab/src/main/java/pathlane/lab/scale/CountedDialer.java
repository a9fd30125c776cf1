package pathlane.lab.scale;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import pathlane.core.CloseReason;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/** Counts what one controller reads and writes, and can break the connection that is up. On the loop's thread. */
final class CountedDialer implements Connector {

    private final Connector dialer;
    private long received;
    private long written;
    private Connection current;

    CountedDialer(Connector dialer) {
        this.dialer = dialer;
    }

    /** Bytes received on all connections so far. */
    long received() {
        return received;
    }

    /** Bytes written on all connections so far. */
    long written() {
        return written;
    }

    /** Breaks the connection that is up, if there is one, as the network would. */
    void breakConnection() {
        if (current != null) {
            current.abort(CloseReason.RESET);
        }
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        dialer.connect(address, timeout, new CountedProtocol(protocol));
    }

    private final class CountedProtocol implements Protocol {

        private final Protocol protocol;
        private Connection connection;

        CountedProtocol(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void opened(Connection up) {
            connection = new CountedConnection(up);
            current = connection;
            protocol.opened(connection);
        }

        @Override
        public void received(ByteBuffer bytes) {
            received += bytes.remaining();
            protocol.received(bytes);
        }

        @Override
        public void closed(CloseReason end) {
            if (current == connection) {
                current = null;
            }
            protocol.closed(end);
        }
    }

    private final class CountedConnection implements Connection {

        private final Connection connection;

        CountedConnection(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void write(byte[] bytes) {
            written += bytes.length;
            connection.write(bytes);
        }

        @Override
        public void flush() {
            connection.flush();
        }

        @Override
        public CancelResult cancelWrite(byte[] bytes) {
            return connection.cancelWrite(bytes);
        }

        @Override
        public boolean isBlocked() {
            return connection.isBlocked();
        }

        @Override
        public void close(CloseReason why) {
            connection.close(why);
        }

        @Override
        public void halfClose(CloseReason why) {
            connection.halfClose(why);
        }

        @Override
        public void abort(CloseReason why) {
            connection.abort(why);
        }

        @Override
        public List<byte[]> unsentMessages() {
            return connection.unsentMessages();
        }

        @Override
        public String remote() {
            return connection.remote();
        }
    }
}
