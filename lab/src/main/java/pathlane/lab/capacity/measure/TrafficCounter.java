package pathlane.lab.capacity.measure;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.LongAdder;
import pathlane.core.CloseReason;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/** Counts the bytes and messages that a simulated peer writes over all of its connections. Thread-safe. */
final class TrafficCounter {

    private final LongAdder bytes = new LongAdder();
    private final LongAdder messages = new LongAdder();
    private final LongAdder open = new LongAdder();

    long bytes() {
        return bytes.sum();
    }

    long messages() {
        return messages.sum();
    }

    /** Number of open connections. */
    long open() {
        return open.sum();
    }

    /** Wraps a state machine so that its writes are counted. */
    Protocol counting(Protocol protocol) {
        return new Counting(protocol);
    }

    private final class Counting implements Protocol {

        private final Protocol protocol;

        Counting(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void opened(Connection connection) {
            open.increment();
            protocol.opened(new Connection() {
                @Override
                public void write(byte[] message) {
                    bytes.add(message.length);
                    messages.increment();
                    connection.write(message);
                }

                @Override
                public void close(CloseReason why) {
                    connection.close(why);
                }

                @Override
                public String remote() {
                    return connection.remote();
                }
            });
        }

        @Override
        public void received(ByteBuffer received) {
            protocol.received(received);
        }

        @Override
        public void closed(CloseReason end) {
            open.decrement();
            protocol.closed(end);
        }
    }
}
