package pathlane.lab.scale;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import pathlane.core.ConnectionEnd;
import pathlane.link.Connection;
import pathlane.link.Dialer;
import pathlane.link.Protocol;

/** Counts what one controller reads from and writes to its connections, and can break the one that is up. On the loop's thread. */
final class CountedDialer implements Dialer {

    private final Dialer dialer;
    private long received;
    private long written;
    private Connection current;

    CountedDialer(Dialer dialer) {
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
            current.abort(ConnectionEnd.RESET);
        }
    }

    @Override
    public void dial(InetSocketAddress address, Duration timeout, Protocol protocol) {
        dialer.dial(address, timeout, new CountedProtocol(protocol));
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
        public void closed(ConnectionEnd end) {
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
        public Withdrawal withdraw(byte[] bytes) {
            return connection.withdraw(bytes);
        }

        @Override
        public boolean isStuck() {
            return connection.isStuck();
        }

        @Override
        public void close(ConnectionEnd why) {
            connection.close(why);
        }

        @Override
        public void finish(ConnectionEnd why) {
            connection.finish(why);
        }

        @Override
        public void abort(ConnectionEnd why) {
            connection.abort(why);
        }

        @Override
        public List<byte[]> unsent() {
            return connection.unsent();
        }

        @Override
        public String remote() {
            return connection.remote();
        }
    }
}
