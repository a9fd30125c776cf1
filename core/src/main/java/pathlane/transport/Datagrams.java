package pathlane.transport;

import java.net.InetSocketAddress;

/** Sends datagrams. One that is lost is lost: nothing is reported of it. */
public interface Datagrams {

    /** Sends one; never blocks. */
    void send(InetSocketAddress to, byte[] datagram);
}
