package pathlane.transport;

import java.net.InetSocketAddress;

/** Sends datagrams, unreliably: a lost datagram is neither resent nor reported. */
public interface Datagrams {

    /** Sends a datagram; never blocks. */
    void send(InetSocketAddress to, byte[] datagram);
}
