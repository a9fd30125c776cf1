package pathlane.transport;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens connections. */
public interface Connector {

    /** Starts a connection; the protocol is told that it is up or, never within this call, how it failed. */
    void connect(InetSocketAddress address, Duration timeout, Protocol protocol);
}
