package pathlane.transport;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens outgoing connections. */
public interface Connector {

    /** Starts to connect. The protocol is notified of success or, never within this method call, of failure. */
    void connect(InetSocketAddress address, Duration timeout, Protocol protocol);
}
