package pathlane.lab.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that restart on the same port: below the system's ephemeral range, so that no outgoing
 * connection takes a port in between. Safe for threads.
 */
public final class Ports {

    private static final int FIRST = 11_000;
    private static final int LAST = 30_000;
    private static final int EACH_PROCESS = 1_000;
    private static final AtomicInteger NEXT = new AtomicInteger(
            FIRST + (int) (ProcessHandle.current().pid() * EACH_PROCESS % (LAST - FIRST)));

    private Ports() {}

    /** Returns a free port on 127.0.0.1. */
    public static int findFree() {
        return findFree(InetAddress.getLoopbackAddress().getHostAddress());
    }

    /** Returns a free port on this address. */
    public static int findFree(String host) {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int port = FIRST + NEXT.incrementAndGet() % (LAST - FIRST);
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(host, port));
                return port;
            } catch (IOException e) {
                continue;   // in use by another process
            }
        }
        throw new IllegalStateException("no free port from " + FIRST + " to " + LAST);
    }
}
