package pathlane.lab.scale;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/** The way from one region to the source: while it is cut, connections break, new ones as soon as they are up. */
final class RegionGate {

    private final Set<Connection> open = new LinkedHashSet<>();
    private boolean isCut;

    /** Puts the gate before the state machine of an accepted connection. */
    Protocol guard(Protocol protocol) {
        return new Guarded(protocol);
    }

    /** Breaks all connections, and lets none come up until {@link #restore}. */
    void cut() {
        isCut = true;
        List<Connection> broken = new ArrayList<>(open);
        broken.forEach(connection -> connection.abort(CloseReason.RESET));
    }

    void restore() {
        isCut = false;
    }

    private final class Guarded implements Protocol {

        private final Protocol protocol;
        private Connection connection;

        Guarded(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void opened(Connection up) {
            if (isCut) {
                up.abort(CloseReason.RESET);
                return;
            }
            connection = up;
            open.add(up);
            protocol.opened(up);
        }

        @Override
        public void received(ByteBuffer bytes) {
            protocol.received(bytes);
        }

        @Override
        public void closed(CloseReason end) {
            if (connection != null) {
                open.remove(connection);
                protocol.closed(end);
            }
        }
    }
}
