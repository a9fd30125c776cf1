package pathlane.link;

import java.net.InetSocketAddress;

/** Sends datagrams. What is lost is lost: nothing is heard of it. */
public interface Datagrams {

    void send(InetSocketAddress to, byte[] datagram);
}
