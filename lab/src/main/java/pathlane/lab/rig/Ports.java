package pathlane.lab.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes that come back at the same one: below those that the system gives out by itself, so that no
 * connection takes one meanwhile. Safe for threads.
 */
public final class Ports {

    private static final int FIRST = 11_000;
    private static final int LAST = 30_000;
    private static final int EACH_PROCESS = 1_000;
    private static final AtomicInteger NEXT = new AtomicInteger(
            FIRST + (int) (ProcessHandle.current().pid() * EACH_PROCESS % (LAST - FIRST)));

    private Ports() { }

    /** One that nobody listens at on 127.0.0.1. */
    public static int free() {
        return free(InetAddress.getLoopbackAddress().getHostAddress());
    }

    /** One that nobody listens at on this address. */
    public static int free(String host) {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int port = FIRST + NEXT.incrementAndGet() % (LAST - FIRST);
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(host, port));
                return port;
            } catch (IOException e) {
                continue;   // somebody else's
            }
        }
        throw new IllegalStateException("no port is free from " + FIRST + " to " + LAST);
    }
}
