package pathlane.link;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens connections. */
public interface Dialer {

    /** Starts a connection; the protocol hears that it is up or, never within this call, how it failed. */
    void dial(InetSocketAddress address, Duration timeout, Protocol protocol);
}
